// SPDX-License-Identifier: Apache-2.0
// The main function of the suite testbed_modules: tests of single modules, without sockets or processes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
