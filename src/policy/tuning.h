// Tuned constants of the admission controller: ratios, counts and durations, none fitted to one site.
// The CoreSync paper names some of them (D_t, the delay target; D_drop, the drop bound; alpha and beta, the
// steps of the credit pool); the rest are ours, each with its reason.
#pragma once

#include <chrono>
#include <cstddef>

#include "granitegap/policy.h"

namespace granitegap::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

// ---- Delay targets ----
constexpr double kTargetRuns = 2.5;            // D_t in median run times
constexpr double kDropRatio = 2.0;             // D_drop / D_t, as in the paper
constexpr double kTargetObjectiveShare = 0.3;  // D_t never over this part of the objective: time to run
constexpr double kGuessObjectiveShare = 0.1;   // a run's length as part of it, before any sample or hint

// ---- The credit pool ----
constexpr double kBeta = 0.02;              // the paper's decrease per update
constexpr double kAlphaShare = 0.001;       // the paper's alpha, as a part of the pool
constexpr double kMaxDecrease = 0.5;        // the paper's bound on one decrease
constexpr double kOvercommit = 2.0;         // credit over what the busiest caller has open
constexpr double kIdleGrowth = 0.1;         // the pool's growth while cores idle with requests queued
constexpr double kBusyCores = 0.92;         // core utilization under which cores count as idle
constexpr double kCreditChange = 0.02;      // part by which the credit must change to be advertised anew
constexpr int kQuietTtls = 5;               // after this many lifetimes of its credit a caller is forgotten
constexpr Duration kMinQuiet = seconds(5);  // and no sooner
constexpr int kUpdateTicks = 4;             // ticks of the host between updates
constexpr Duration kMinUpdate = milliseconds(20);
constexpr TimerToken kUpdateToken{0};

// ---- Overload ----
constexpr double kPersistentRate = 0.15;    // part of recent updates that decreased, in persistent overload
constexpr double kPersistentSeconds = 3.0;  // how recent
constexpr Duration kOverloadLogDelay = seconds(2);  // before overload is logged as begun or over
constexpr double kMinAdmitted = 0.1;                // of the arrivals, however long the waits
constexpr double kAdmitStep = 0.3;                  // growth of the admitted fraction, per second
constexpr double kUnreadSeconds = 0.5;              // over which unread waits are smoothed
constexpr std::size_t kWeightSamples = 64;          // recent arrivals that a request's weight is ranked among
constexpr double kServeMargin = 1.5;  // an arrival's wait and this many times its run must fit its objective

// ---- Tenant quotas ----
constexpr double kOverQuotaRatio = 0.5;    // delay ratio from which requests over their quota are rejected
constexpr double kMinBurst = 10;           // requests that a small quota saves up
constexpr double kBurstSeconds = 2;        // what a large one saves up
constexpr double kOverQuotaWeight = 0.05;  // fraction of the weight, where the settings name none

// ---- The queue and the run limit ----
constexpr double kRunLimitStep = 0.05;   // growth of the run limit per update, in cores
constexpr double kRunLimitShare = 0.6;   // its ceiling, in survivable concurrency
constexpr double kStartedShare = 0.85;   // of that concurrency, for all started requests, those at calls too
constexpr double kMemoryShare = 0.97;    // of the memory; the rest covers rounding
constexpr double kFreshUrgency = 0.3;    // what a request counts for in the queue before it has waited
constexpr double kPauseRuns = 2.0;       // runs this many times their expected length may be paused
constexpr double kPauseGain = 2.0;       // and only for work whose priority is this much higher
constexpr std::size_t kRunSamples = 21;  // runs in a class's median

// ---- The pace of the cores ----
constexpr double kSmoothing = 0.1;  // weight of the newest sample in a mean
constexpr double kSlowRatio = 2.5;  // times its best pace, for its concurrency, at which a server is slow
constexpr std::size_t kMinPaceRuns = 30;        // runs before a best pace means something
constexpr Duration kUnhealthyFor = seconds(6);  // a slow server's stay off the endpoint list

// ---- Drain ----
constexpr Duration kDrainQuiet = milliseconds(300);  // before the grace ends, callers are sent away

// ---- Calls to the dependency ----
constexpr double kCallQuotaShare = 0.9;  // of the quota, on the mean of its window
constexpr double kCallSlowdown = 3.0;    // times its best duration at which a call counts as slow
constexpr int kMinCallSamples = 8;       // calls before their mean duration means something
constexpr Duration kMinCallStay = milliseconds(100);  // least time that a call is taken to stay open
constexpr Duration kInitialCallWindow = seconds(1);   // of the window granted to a fresh instance at once
constexpr int kMaxCallAttempts = 3;  // of one call that may have had its effect, where it may be retried
constexpr int kMaxBackoffDoublings = 5;

}  // namespace granitegap::policy
