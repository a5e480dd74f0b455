// SPDX-License-Identifier: Apache-2.0
#include "proxy/program.hpp"

int main(int argument_count, char **arguments) {
    return harrierpass::proxy::run(argument_count, arguments);
}
