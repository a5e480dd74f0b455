// SPDX-License-Identifier: Apache-2.0
// The administration API, version 1: requests in, answers out, no sockets. JSON in and out; errors are
// problem details (RFC 9457) whose `errors` hold a JSON Pointer into the body for each fault; concurrent
// writers use ETag and If-Match (RFC 9110, 8.8.3 and 13.1.1); PATCH is a merge patch (RFC 7396).
// docs/hosted.md lists the calls.
#pragma once

#include "admin/registry.hpp"

namespace harrierpass::admin {

enum class role : std::uint8_t {
    read,   // reads all but exports
    tenant, // reads and changes one tenant, which it can neither make nor remove
    all
};

// Who may call. Without an operator nobody may.
struct operator_account {
    std::string name, token_hash; // SHA-256 of the token's secret
    role may = role::read;
    std::string of; // role::tenant: whose
};

struct api_request {
    std::string method, target;
    std::string token;     // "NAME.SECRET", of Authorization: Bearer
    std::string certified; // an operator's name, of a certificate that was verified: then no token is needed
    std::string if_match, if_none_match, idempotency_key, body;
};

struct api_answer {
    int status = 200;
    std::string body, type = "application/json", etag, location;
    std::string why; // for the log and its counters: a word
};

class api {
public:
    api(registry &of, std::vector<operator_account> operators)
        : registry_(of), operators_(std::move(operators)) {}

    api_answer answer(const api_request &asked);

    // In the order in which they are tried.
    struct call {
        const char *method, *path; // {name} and {id} stand for one segment
        bool writes;
        role least;
        api_answer (api::*made)(const struct asking &);
    };
    static std::span<const call> calls();

private:
    const operator_account *who(const api_request &asked) const;
    api_answer version(const asking &);
    api_answer list(const asking &);
    api_answer read(const asking &);
    api_answer create(const asking &);
    api_answer put(const asking &);
    api_answer patch(const asking &);
    api_answer remove(const asking &);
    api_answer add_key(const asking &);
    api_answer remove_key(const asking &);
    api_answer transact(const asking &);
    api_answer audit(const asking &);
    api_answer export_all(const asking &);
    api_answer import_all(const asking &);
    api_answer write(const asking &by,
                     const std::function<std::vector<tenants::change>(const tenants::tenant_set &)> &make,
                     int good, const std::string &name, bool one, const std::string &extra = {});

    registry &registry_;
    const std::vector<operator_account> operators_;
};

} // namespace harrierpass::admin
