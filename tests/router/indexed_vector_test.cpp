// SPDX-License-Identifier: Apache-2.0
#include "router/indexed_vector.hpp"
#include "support/index_literals.hpp"

#include <doctest/doctest.h>
#include <string>

namespace harrierpass {

TEST_CASE("indexed vector: elements are added at the end index and accessed by their index") {
    indexed_vector<endpoint_index, std::string> names;
    CHECK(names.end_index() == 0_endpoint);
    CHECK(names.add("a") == 0_endpoint);
    CHECK(names.add("b") == 1_endpoint);
    CHECK(names[1_endpoint] == "b");
    names[0_endpoint] = "c";
    std::string concatenated;
    for (const auto &name : names)
        concatenated += name;
    CHECK(concatenated == "cb");
}

TEST_CASE("indexed vector: grow_to adds default elements up to an index and never removes any") {
    indexed_vector<request_index, int> counts;
    CHECK_FALSE(counts.contains(0_request));
    counts.grow_to(3_request);
    CHECK(counts.end_index() == 4_request);
    CHECK(counts.contains(3_request));
    CHECK_FALSE(counts.contains(4_request));
    CHECK(counts[3_request] == 0);
    counts[3_request] = 9;
    counts.grow_to(1_request);
    CHECK(counts.end_index() == 4_request);
    CHECK(counts[3_request] == 9);
}

} // namespace harrierpass
