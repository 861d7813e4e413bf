// Bounds the bytes that the connections of a process hold in memory together: answers of upstreams, requests of
// callers, answers that slow callers have not taken yet, and frames of other hosts. A limit for each message alone does
// not keep a process within its memory, since there may be hundreds of them at a time.
//
// When the sum exceeds the limit, the holder of the most bytes gives its own up first: its connection is closed. What a
// request that is still served has been answered with is pinned and not taken away; while pinned bytes use up the
// limit, new large messages are given up. Small messages are not counted, since the number of connections bounds them.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_set>
#include <vector>

namespace hickoryspur {

/** Thread-safe. */
class ByteBudget
{
public:
    /** Closes the connection of a holder. It may be called on another holder's thread, so it posts to its own. */
    using GiveUp = std::function<void()>;

    /** Messages up to this size, in bytes, are not counted. */
    static constexpr size_t kUncountedBytes = 4UL * 1024;

    /** Small beside the memory of the smallest hosts: buffers grow by doubling, and a request is encoded per attempt.
     */
    static constexpr size_t kDefaultLimitBytes = 32UL * 1024 * 1024;

    explicit ByteBudget(size_t limitBytes)
        : m_limit(limitBytes)
    {
    }
    ByteBudget(const ByteBudget &) = delete;
    ByteBudget &operator=(const ByteBudget &) = delete;

    void setLimit(size_t limitBytes);
    size_t limit() const;
    size_t heldBytes() const;

    class Share;

private:
    struct Holder
    {
        /** The kind of connection, for the log. */
        const char *reader = "";
        GiveUp giveUp;
        size_t bytes = 0;
        bool pinned = false;
        bool givenUp = false;
        /** Whether the budget knows the holder; it does from the first counted size on. */
        bool counted = false;
    };

    bool resize(Holder &holder, size_t bytes);
    void remove(Holder &holder);
    /** Marks the largest holders until the rest is within the limit, and returns their hooks. */
    std::vector<GiveUp> reclaim();
    Holder *largest() const;

    mutable std::mutex m_mutex;
    size_t m_limit;
    size_t m_held = 0;
    std::unordered_set<Holder *> m_holders;
};

/** What one message holds; released when the share is destroyed. An empty share accepts any size and counts nothing. */
class ByteBudget::Share
{
public:
    Share() = default;
    Share(ByteBudget &budget, const char *reader, GiveUp giveUp);
    Share(Share &&other) noexcept = default;
    Share &operator=(Share &&other) noexcept;
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;
    ~Share();

    /** Sets what the message holds, in bytes. Returns false if it has to be given up. */
    [[nodiscard]] bool resize(size_t bytes);
    /** From now on the message is needed until the share is destroyed. */
    void pin();

private:
    void release();

    ByteBudget *m_budget = nullptr;
    std::unique_ptr<Holder> m_holder;
};

/** The budget of all connections of this process. */
ByteBudget &connectionBytes();

} // namespace hickoryspur
