#pragma once

#include "snipeferry/core/value.h"

#include <vector>

/**
 * Messages between instances about fleet-wide limits.
 */
namespace snipeferry::limits {

/** Millionths of a token. With this unit, the shares of a low rate still add up to the whole rate. */
using MicroTokens = std::int64_t;

constexpr MicroTokens MICRO_TOKENS_PER_TOKEN = 1'000'000;

/** Requests tokens of one customer from an instance that owns slots of that customer's limit. */
struct TokenRequest
{
    /** Incarnation of the sender. After a restart the sender discards grants to its earlier incarnation. */
    core::Incarnation incarnation = 0;
    /** Unique within the sender's incarnation. */
    std::uint64_t transferId = 0;
    core::CustomerId customer;
    MicroTokens amount = 0;
    /** True if a caller's request waits for these tokens, false if they are fetched ahead of demand. */
    bool isUrgent = true;

    SNIPEFERRY_VALUE(TokenRequest, incarnation, transferId, customer, amount, isUrgent)
};

/** Tokens that the donor has debited from its buckets. The receiver can use them for the lifetime, counted from when it sent its request. */
struct TokenGrant
{
    core::Incarnation incarnation = 0;
    std::uint64_t transferId = 0;
    core::CustomerId customer;
    MicroTokens amount = 0;
    absl::Duration lifetime;
    /** Tokens left in the donor's buckets, as a hint for the next request. */
    MicroTokens remaining = 0;
    /** Refill rate of the donor's buckets of this customer, as a hint. */
    MicroTokens mintedPerSecond = 0;

    SNIPEFERRY_VALUE(TokenGrant, incarnation, transferId, customer, amount, lifetime, remaining, mintedPerSecond)
};

/** Returns unused tokens of a grant to its donor. */
struct TokenReturn
{
    core::Incarnation incarnation = 0;
    std::uint64_t transferId = 0;
    core::CustomerId customer;
    /** Total tokens of this grant returned so far. Because it is a running total, handling a message twice has no effect. */
    MicroTokens returnedInAll = 0;
    /** The instance that received the grant will reserve no more of its tokens. Its running reservations may still return unused tokens later. */
    bool isFinal = false;

    SNIPEFERRY_VALUE(TokenReturn, incarnation, transferId, customer, returnedInAll, isFinal)
};

/** Asks another instance of the same data centre to promise that it will not take over slots of the sender. */
struct SlotRenewal
{
    std::uint64_t sequence = 0;

    SNIPEFERRY_VALUE(SlotRenewal, sequence)
};

/** Answer to a SlotRenewal: the instance that sends this promise takes over none of the receiver's slots for the duration of the slot lease. */
struct SlotPromise
{
    std::uint64_t sequence = 0;

    SNIPEFERRY_VALUE(SlotPromise, sequence)
};

} // namespace snipeferry::limits
