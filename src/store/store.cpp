// SPDX-License-Identifier: Apache-2.0
#include "store/store.hpp"

#include "tenants/text.hpp"

#include <array>
#include <cstdio>
#include <filesystem>
#include <sqlite3.h>
#include <utility>

namespace harrierpass::store {
namespace {

constexpr int busy_wait = 2000;             // ms for another process that reads a copy
constexpr std::size_t kept_answers = 10000; // idempotency keys remembered; the oldest go first

// Each step brings the schema from its place in this list to the next one. Steps are only ever added.
constexpr std::array<const char *, 2> migrations = {
    "CREATE TABLE numbers(name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;"
    "INSERT INTO numbers VALUES('version', 0), ('incarnations', 0);"
    "CREATE TABLE tenants(name TEXT PRIMARY KEY, incarnation INTEGER NOT NULL, version INTEGER NOT NULL,"
    " body TEXT NOT NULL) WITHOUT ROWID;"
    "CREATE TABLE audit(number INTEGER PRIMARY KEY, version INTEGER NOT NULL, time REAL NOT NULL, who TEXT "
    "NOT NULL,"
    " what TEXT NOT NULL, name TEXT NOT NULL, before TEXT NOT NULL, after TEXT NOT NULL);",
    "CREATE TABLE answers(key TEXT PRIMARY KEY, number INTEGER NOT NULL, request TEXT NOT NULL, answer TEXT "
    "NOT NULL)"
    " WITHOUT ROWID;"
    "CREATE INDEX answers_by_age ON answers(number);"};

std::string good_copy_of(const std::string &path) {
    return path + ".good";
}

} // namespace

// A prepared statement; every failure names the file.
struct tenant_store::statement {
    statement(sqlite3 *db, const std::string &path, const char *sql) : db_(db), path_(path) {
        if (sqlite3_prepare_v2(db, sql, -1, &made_, nullptr) != SQLITE_OK)
            fail();
    }
    ~statement() { sqlite3_finalize(made_); }
    statement(const statement &) = delete;
    statement &operator=(const statement &) = delete;

    statement &with(std::uint64_t value) {
        sqlite3_bind_int64(made_, ++bound_, static_cast<sqlite3_int64>(value));
        return *this;
    }
    statement &with(double value) {
        sqlite3_bind_double(made_, ++bound_, value);
        return *this;
    }
    statement &with(const std::string &value) {
        sqlite3_bind_text(made_, ++bound_, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT);
        return *this;
    }
    bool step() {
        const int got = sqlite3_step(made_);
        if (got != SQLITE_ROW && got != SQLITE_DONE)
            fail();
        return got == SQLITE_ROW;
    }
    void once() {
        step();
        sqlite3_reset(made_);
        bound_ = 0;
    }
    std::uint64_t number(int column) {
        return static_cast<std::uint64_t>(sqlite3_column_int64(made_, column));
    }
    double real(int column) { return sqlite3_column_double(made_, column); }
    std::string text(int column) {
        const auto *const from = reinterpret_cast<const char *>(sqlite3_column_text(made_, column));
        return from == nullptr
                   ? std::string()
                   : std::string(from, static_cast<std::size_t>(sqlite3_column_bytes(made_, column)));
    }

private:
    [[noreturn]] void fail() const { throw store_failure(path_ + ": " + sqlite3_errmsg(db_)); }
    sqlite3 *db_;
    const std::string &path_;
    sqlite3_stmt *made_ = nullptr;
    int bound_ = 0;
};

tenant_store::tenant_store(std::string path) : path_(std::move(path)) {
    const std::string good = good_copy_of(path_);
    try {
        if (sqlite3_open_v2(path_.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr) !=
            SQLITE_OK)
            throw store_failure(path_ + ": " + (db_ != nullptr ? sqlite3_errmsg(db_) : "no memory"));
        sqlite3_busy_timeout(db_, busy_wait);
        if (const auto wrong = damage(); !wrong.empty())
            throw store_failure(path_ + ": " + wrong);
        run("PRAGMA journal_mode = WAL");
        run("PRAGMA synchronous = FULL");
        migrate();
        at_start_.set = load();
    } catch (const store_failure &bad) {
        sqlite3_close(std::exchange(db_, nullptr));
        if (!std::filesystem::exists(good))
            throw;
        at_start_.damage = bad.what();
        if (sqlite3_open_v2(good.c_str(), &db_, SQLITE_OPEN_READONLY, nullptr) != SQLITE_OK) {
            sqlite3_close(std::exchange(db_, nullptr));
            throw;
        }
        try {
            if (const auto wrong = damage(); !wrong.empty())
                throw store_failure(good + ": " + wrong);
            at_start_.set = load();
        } catch (const store_failure &worse) {
            sqlite3_close(std::exchange(db_, nullptr));
            throw store_failure(std::string(bad.what()) + "; and its last good copy: " + worse.what());
        }
        return;
    }
    copy_to(good);
}

tenant_store::~tenant_store() {
    sqlite3_close(db_);
}

void tenant_store::run(const char *sql) {
    char *why = nullptr;
    if (sqlite3_exec(db_, sql, nullptr, nullptr, &why) == SQLITE_OK)
        return;
    const std::string said = path_ + ": " + (why != nullptr ? why : sqlite3_errmsg(db_));
    sqlite3_free(why);
    throw store_failure(said);
}

std::string tenant_store::damage() {
    statement check(db_, path_, "PRAGMA integrity_check(3)");
    std::string all;
    while (check.step())
        all += (all.empty() ? "" : "; ") + check.text(0);
    return all == "ok" ? "" : "is damaged: " + all;
}

void tenant_store::migrate() {
    std::uint64_t at;
    {
        statement now(db_, path_, "PRAGMA user_version");
        now.step();
        at = now.number(0);
    }
    if (at > migrations.size())
        throw store_failure(path_ + ": its schema " + std::to_string(at) + " is newer than this program's " +
                            std::to_string(migrations.size()));
    for (; at < migrations.size(); ++at) {
        run("BEGIN IMMEDIATE");
        try {
            run(migrations[at]);
            run(("PRAGMA user_version = " + std::to_string(at + 1)).c_str());
            run("COMMIT");
        } catch (const store_failure &) {
            sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
            throw;
        }
    }
}

tenants::set_ptr tenant_store::load() {
    std::vector<tenants::tenant> all;
    statement each(db_, path_, "SELECT name, incarnation, version, body FROM tenants ORDER BY name");
    while (each.step()) {
        auto read = tenants::from_json(each.text(3), true);
        if (!read.faults.empty())
            throw store_failure(path_ + ": tenant " + each.text(0) + ": " + read.faults[0].at + " " +
                                read.faults[0].why);
        read.made.incarnation = each.number(1);
        read.made.version = each.number(2);
        all.push_back(std::move(read.made));
    }
    std::array<std::uint64_t, 2> numbers{};
    statement number(db_, path_, "SELECT value FROM numbers ORDER BY name DESC"); // version, incarnations
    for (auto &to : numbers)
        if (number.step())
            to = number.number(0);
    auto made = tenants::restore(numbers[0], numbers[1], std::move(all));
    if (const auto *const bad = std::get_if<tenants::refusal>(&made))
        throw store_failure(path_ + ": its tenants do not fit together: " + bad->faults[0].at + " " +
                            bad->faults[0].why);
    return std::get<tenants::set_ptr>(made);
}

void tenant_store::commit(const tenants::tenant_set &before, const tenants::tenant_set &after,
                          const std::vector<audit_entry> &log, const std::string &idempotency_key,
                          const kept_answer &answer) {
    if (!at_start_.damage.empty())
        throw store_failure("no change can be kept: " + at_start_.damage);
    run("BEGIN IMMEDIATE");
    try {
        {
            // Guards against a second program that writes to the same file.
            statement now(db_, path_, "SELECT value FROM numbers WHERE name = 'version'");
            if (!now.step() || now.number(0) != before.version())
                throw store_failure(path_ + ": was changed by another program");
        }
        statement put(db_, path_, "INSERT OR REPLACE INTO tenants VALUES(?, ?, ?, ?)");
        statement gone(db_, path_, "DELETE FROM tenants WHERE name = ?");
        statement number(db_, path_, "UPDATE numbers SET value = ? WHERE name = ?");
        for (const auto &each : log)
            if (const auto one = after.find(each.name))
                put.with(each.name)
                    .with(one->incarnation)
                    .with(one->version)
                    .with(tenants::to_json(*one, true))
                    .once();
            else
                gone.with(each.name).once();
        number.with(after.version()).with(std::string("version")).once();
        number.with(after.incarnations()).with(std::string("incarnations")).once();
        statement entry(
            db_, path_,
            "INSERT INTO audit SELECT COALESCE(MAX(number), 0) + 1, ?, ?, ?, ?, ?, ?, ? FROM audit");
        for (const auto &each : log)
            entry.with(after.version())
                .with(each.when)
                .with(each.who)
                .with(each.what)
                .with(each.name)
                .with(each.before)
                .with(each.after)
                .once();
        if (!idempotency_key.empty()) {
            statement keep(db_, path_,
                           "INSERT INTO answers SELECT ?, COALESCE(MAX(number), 0) + 1, ?, ? FROM answers");
            keep.with(idempotency_key).with(answer.request).with(answer.answer).once();
            statement forget(db_, path_,
                             "DELETE FROM answers WHERE number <= (SELECT MAX(number) FROM answers) - ?");
            forget.with(std::uint64_t{kept_answers}).once();
        }
        run("COMMIT");
    } catch (const store_failure &) {
        sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
        throw;
    }
}

std::optional<kept_answer> tenant_store::answered(const std::string &idempotency_key) {
    statement one(db_, path_, "SELECT request, answer FROM answers WHERE key = ?");
    one.with(idempotency_key);
    if (!one.step())
        return std::nullopt;
    return kept_answer{one.text(0), one.text(1)};
}

std::vector<audit_entry> tenant_store::audit(std::uint64_t after, std::size_t maximum) {
    std::vector<audit_entry> all;
    statement each(db_, path_,
                   "SELECT number, version, time, who, what, name, before, after FROM audit WHERE number > ?"
                   " ORDER BY number LIMIT ?");
    each.with(after).with(std::uint64_t{maximum});
    while (each.step())
        all.push_back({each.number(0), each.number(1), each.real(2), each.text(3), each.text(4), each.text(5),
                       each.text(6), each.text(7)});
    return all;
}

void tenant_store::copy_to(const std::string &path) {
    const std::string part = path + ".part";
    std::remove(part.c_str());
    sqlite3 *to = nullptr;
    int went = sqlite3_open(part.c_str(), &to);
    if (went == SQLITE_OK) {
        if (sqlite3_backup *const copy = sqlite3_backup_init(to, "main", db_, "main")) {
            went = sqlite3_backup_step(copy, -1);
            sqlite3_backup_finish(copy);
        } else {
            went = sqlite3_errcode(to);
        }
    }
    const std::string why = went == SQLITE_DONE ? "" : sqlite3_errmsg(to);
    // A copy is one file by itself: without this it would want a journal beside it.
    if (went == SQLITE_DONE)
        sqlite3_exec(to, "PRAGMA journal_mode = DELETE", nullptr, nullptr, nullptr);
    sqlite3_close(to);
    if (went != SQLITE_DONE || std::rename(part.c_str(), path.c_str()) != 0) {
        std::remove(part.c_str());
        throw store_failure(path + ": cannot be written: " + (why.empty() ? "no such folder" : why));
    }
}

} // namespace harrierpass::store
