// SPDX-License-Identifier: Apache-2.0
// The tenants of a hosted service, as values without I/O. A set of them is one immutable version: a query
// takes the present one with its first byte and keeps it to its answer, whatever an operator changes
// meanwhile. A change, or several in one transaction, makes the next version whole, or none and says where it
// is at fault.
#pragma once

#include "router/types.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace harrierpass::tenants {

// A tenant's life. One that is made again under the same name is another one, with an incarnation of its own.
enum class state : std::uint8_t {
    staged,   // known, and serves nobody yet
    active,   // serves
    draining, // its open queries are answered, new ones refused; gone once none is open
};

// What of a tenant's callers goes where: the longest prefix of whole path segments wins.
struct route {
    std::string host;   // lower case, without a port
    std::string prefix; // "/" or "/a/b", without a slash at its end
    std::string pool;   // of servers
    std::string use_case;
};

// A tenant's class of requests, as its routes name it.
struct named_use_case {
    std::string name;
    request_class decides;
    double deadline = 1; // s
};

// A caller's key: what is kept is the hash of its secret, which was shown once.
struct access_key {
    std::string id;   // 1 to 32 small letters and digits; public
    std::string hash; // 64 hexadecimal digits: SHA-256 of the secret
    std::string note;
};

// Shares and limits of one tenant, over all proxies of the service. 0: none, but for weight.
struct share {
    double rate = 0;        // queries a second
    double burst = 0;       // queries at once; 0: a second's worth
    double work = 0;        // s of servers' time a second
    index in_flight = 0;    // queries
    std::uint64_t body = 0; // bytes of one query's body
    index connections = 0;  // of its callers
    double weight = 1;      // against the others', of what is left
};

// One customer of the service, with all its settings.
struct tenant {
    std::string name; // 1 to 63 small letters, digits and '-', which neither begins nor ends it
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0; // of the set in which it came to be as it is; its ETag
    state is = state::staged;
    share limits;
    std::vector<named_use_case> use_cases;
    std::vector<route> routes;
    std::vector<access_key> keys;
};
using tenant_ptr = std::shared_ptr<const tenant>;

// A place in a change that cannot be, and why: `at` is a JSON Pointer (RFC 6901) into the change.
struct fault {
    std::string at, why;
};

// The tenant and the route of a request.
struct match {
    tenant_ptr of; // null: no route leads there
    const route *by = nullptr;
};

// One version of all tenants. Immutable once it is shared, so it may be read by any thread. Invariant: no two
// tenants have the same host and prefix, or the same key id.
class tenant_set {
public:
    // Grows by one with each transaction.
    std::uint64_t version() const { return version_; }
    // Incarnation numbers given out so far.
    std::uint64_t incarnations() const { return incarnations_; }
    // How many tenants there are, those that drain included.
    std::size_t size() const { return by_name_.size(); }
    // The tenant of this name; null: there is none.
    tenant_ptr find(std::string_view name) const;
    // By the key's public id, which is its own in the whole set.
    tenant_ptr of_key(std::string_view id) const;
    // Where a query goes; also of a tenant that is staged or drains, as its refusal must be told apart.
    match find(std::string_view host, std::string_view path) const;
    // All tenants by name.
    const std::map<std::string, tenant_ptr, std::less<>> &all() const { return by_name_; }

private:
    friend class editor;
    // A route of a tenant, by its place in the tenant's list.
    struct entry {
        tenant_ptr of;
        std::size_t route;
    };
    using host_table = std::map<std::string, entry, std::less<>>; // by prefix
    std::uint64_t version_ = 0, incarnations_ = 0;
    std::map<std::string, tenant_ptr, std::less<>> by_name_;
    std::unordered_map<std::string, std::shared_ptr<const host_table>> hosts_; // shared with older versions
    std::unordered_map<std::string, tenant_ptr> keys_;
};
using set_ptr = std::shared_ptr<const tenant_set>;

// One step of a transaction.
struct change {
    enum class kind : std::uint8_t {
        create,  // must not be there
        replace, // must be there
        put,     // either
        remove,  // begins its draining
        purge    // ends it: nothing of it is open any more
    };
    kind what = kind::put;
    tenant wanted;                         // its name, and all but incarnation and version
    std::optional<std::uint64_t> if_match; // the version that its writer has seen
};

// Why a transaction was refused: the steps' faults; `conflict`: it would have been good before another
// change.
struct refusal {
    std::vector<fault> faults; // at "/INDEX/..." of the transaction
    bool conflict = false, absent = false;
};

// All of it, or none.
std::variant<set_ptr, refusal> apply(const set_ptr &from, std::span<const change> steps);

// A set as it was stored: the same checks, and version and incarnations as they were.
std::variant<set_ptr, refusal> restore(std::uint64_t version, std::uint64_t incarnations,
                                       std::vector<tenant> tenants);

// The checks of one tenant by itself, which need no set.
std::vector<fault> check(const tenant &of);

// The name that JSON and logs have.
const char *name_of(state is);

} // namespace harrierpass::tenants
