// SPDX-License-Identifier: Apache-2.0
// The tenants' set on disk (SQLite, WAL, synchronous = FULL): a transaction that commit() has returned from
// is there after a kill at any instant, and one that it has not is there whole or not at all. A second file,
// the last good copy, is what a damaged store is answered for from.
#pragma once

#include "tenants/model.hpp"

#include <stdexcept>

struct sqlite3;

namespace harrierpass::store {

// The store cannot be read, or cannot be written: the message names the file and the cause.
struct store_failure : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Who changed what. `before` and `after` are tenants as JSON, empty where there was none; no secrets.
struct audit_entry {
    std::uint64_t number = 0;  // from 1 on, without gaps
    std::uint64_t version = 0; // of the set that it made
    double when = 0;           // Unix time, s
    std::string who, what, name, before, after;
};

// The answer that was given to a creation under its idempotency key.
struct kept_answer {
    std::string request; // a hash of what was asked; another request under the key is refused
    std::string answer;
};

// How the store was found when it was opened.
struct opened {
    tenants::set_ptr set;
    std::string damage; // not empty: what is wrong with the store; the set is the last good copy's
};

// The open store. Reads may come from any thread (SQLite's serialized mode); the registry serializes
// commit().
class tenant_store {
public:
    // Opens or makes the file, brings an older schema up to date, and checks it whole. A damaged file is left
    // as it is, the set comes from the last good copy beside it (FILE.good), and every commit fails. Throws
    // store_failure where neither can be read.
    explicit tenant_store(std::string path);
    ~tenant_store();
    tenant_store(const tenant_store &) = delete;
    tenant_store &operator=(const tenant_store &) = delete;

    // What was found at the start.
    const opened &at_start() const { return at_start_; }

    // The next version: `log` names each tenant that it changes (number and version are given here). Throws
    // store_failure, as on a full disk, and then nothing has changed.
    void commit(const tenants::tenant_set &before, const tenants::tenant_set &after,
                const std::vector<audit_entry> &log, const std::string &idempotency_key = {},
                const kept_answer &answer = {});

    // The answer kept under this key; empty: there is none. Throws store_failure.
    std::optional<kept_answer> answered(const std::string &idempotency_key);
    // Up to `maximum` entries of the audit log after this number, in order. Throws store_failure.
    std::vector<audit_entry> audit(std::uint64_t after, std::size_t maximum);

    // A whole copy, while all goes on: to a file of its own, then under its name at once.
    void copy_to(const std::string &path);
    // The file's path.
    const std::string &path() const { return path_; }

private:
    // A prepared SQL statement.
    struct statement;
    // Executes SQL that returns no rows. Throws store_failure.
    void run(const char *sql);
    // Brings an older schema up to date, each step in a transaction.
    void migrate();
    // What the integrity check finds; empty: nothing.
    std::string damage();
    // Reads all tenants.
    tenants::set_ptr load();

    const std::string path_;
    sqlite3 *db_ = nullptr;
    opened at_start_;
};

} // namespace harrierpass::store
