// SPDX-License-Identifier: Apache-2.0
#include "admin/secrets.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <span>
#include <stdexcept>

namespace harrierpass::admin {
namespace {

std::string hexadecimal(std::span<const unsigned char> bytes) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char each : bytes) {
        text += digits[each >> 4];
        text += digits[each & 15];
    }
    return text;
}

template <std::size_t size> std::string random_text() {
    std::array<unsigned char, size> bytes{};
    if (RAND_bytes(bytes.data(), size) != 1)
        throw std::runtime_error("the system gives no randomness");
    return hexadecimal(bytes);
}

} // namespace

std::string make_secret() {
    return random_text<32>();
}

std::string make_id() {
    return random_text<8>();
}

std::string hash_of(std::string_view secret) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> sum{};
    unsigned size = 0;
    if (EVP_Digest(secret.data(), secret.size(), sum.data(), &size, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("no SHA-256");
    return hexadecimal(std::span(sum).first(size));
}

bool fits(std::string_view secret, std::string_view hash) {
    const std::string own = hash_of(secret);
    return own.size() == hash.size() && CRYPTO_memcmp(own.data(), hash.data(), own.size()) == 0;
}

} // namespace harrierpass::admin
