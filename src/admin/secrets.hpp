// SPDX-License-Identifier: Apache-2.0
// Secrets of operators and of tenants' callers (OpenSSL): made from the system's randomness, shown once, kept
// as SHA-256 (FIPS 180-4). A secret has 256 bits of chance, so that a plain hash is enough: there is nothing
// to guess.
#pragma once

#include <string>
#include <string_view>

namespace harrierpass::admin {

std::string make_secret();                    // 64 hexadecimal digits
std::string make_id();                        // 16
std::string hash_of(std::string_view secret); // 64 hexadecimal digits
// In a time that does not tell how much of it fits.
bool fits(std::string_view secret, std::string_view hash);

} // namespace harrierpass::admin
