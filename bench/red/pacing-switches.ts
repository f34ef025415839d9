/**
 * Mechanisms of room and pace on engines with steady streams, each with the test that fails without it.
 * @module
 */
import type * as switches from "./switches.js";

export const PACING_SWITCHES: readonly switches.Switch[] = [
  {
    name: "steady: seats are granted only while the batch has a place",
    file: "serving/pacing/room.js",
    find: "if (u.requests >= batch.requests)",
    put: "if (false)",
    proof: "is never exceeded, whatever comes and goes",
  },
  {
    name: "steady: seats are granted only while the KV cache has room",
    file: "serving/pacing/room.js",
    find: "u.tokens + tokensOf(need) > batch.cacheTokens",
    put: "false",
    proof:
      "lets small requests pass a large one for a while, and then keeps what becomes free for it",
  },
  {
    name: "steady: small requests pass a large one for a limited time",
    file: "serving/pacing/steady-admission.js",
    find: "at.now - w.askedAt >= OVERTAKE_MS",
    put: "false",
    proof:
      "lets small requests pass a large one for a while, and then keeps what becomes free for it",
  },
  {
    name: "steady: a seat without a first event stops counting",
    file: "serving/pacing/room.js",
    find: "return s.hasBegun || now - s.grantedAt < backlog.FIRST_EVENT_TIMEOUT_MS;",
    put: "return true;",
    proof: "ends with the batch, and comes back with a seat's end or with a seat that stays silent",
  },
  {
    name: "steady: the engine manager wakes when a seat stops counting",
    file: "serving/residency.js",
    find: "Math.max(1, prefillMs, admittedMs)",
    put: "Math.max(1, prefillMs)",
    proof: "ends with the batch, and comes back with a seat's end or with a seat that stays silent",
  },
  {
    name: "steady: prefill is limited while streams run",
    file: "serving/pacing/steady-admission.js",
    find: 'return hold && { why: "pace", holdsOthers: !hold.isTooLarge, inMs: hold.inMs };',
    put: "return undefined;",
    proof: "are on time at twice what the engine can do, slow spells: true",
  },
  {
    name: "steady: a prompt counts for as long as an event may take",
    file: "serving/pacing/pace.js",
    find: "Math.max(r.tookMs, a.windowMs * factor)",
    put: "r.tookMs",
    proof: "counts prompts for as long as an event may take, also after their first event",
  },
  {
    name: "steady: a slow spell is noticed by first events that are overdue",
    file: "serving/pacing/pace.js",
    find: "factor > SLOW_ABOVE && sinceMs < MAX_SLOW_MS",
    put: "false",
    proof:
      "grants no prompt in a slow spell that makes an event late, but small ones, and all once it lasts",
  },
  {
    name: "steady: an engine that stays slow counts as usual again",
    file: "serving/pacing/pace.js",
    find: "const MAX_SLOW_MS = 1500;",
    put: "const MAX_SLOW_MS = Infinity;",
    proof:
      "grants no prompt in a slow spell that makes an event late, but small ones, and all once it lasts",
  },
  {
    name: "steady: a late report of one entry host is no slow spell",
    file: "serving/pacing/pace.js",
    find: "(latest && r.at <= latest.at)",
    put: "false",
    proof: "does not take an engine for slow because one entry host reports late",
  },
  {
    name: "steady: a prompt whose entry host is frozen stops counting",
    file: "serving/pacing/pace.js",
    find: "const LOST_FACTOR = 3;",
    put: "const LOST_FACTOR = Infinity;",
    proof: "goes on without the first event of a prompt whose entry host is frozen",
  },
  {
    name: "steady: the time of events is learned",
    file: "serving/pacing/pace.js",
    find: "return { ...p, sums: add(older, count, x, y), learnedAt: now };",
    put: "return p;",
    proof:
      "learns the time of events, also where all have about the same prefill, and forgets it with time",
  },
  {
    name: "steady: announced waiting times include the wait for a place",
    file: "serving/engine-view.js",
    find: "Math.max(ms, steadyMs?.[rank] ?? 0)",
    put: "ms",
    proof: "tell that the engine is full, and a seat is granted as soon as one ends",
  },
  {
    name: "steady: only engines whose streams must be steady have admission control",
    file: "serving/pacing/steady.js",
    find: 'r.kind === "stream" &&',
    put: "",
    proof:
      "is one whose events leave time for a prompt, whose routes stream not, or whose batch is unknown",
  },
  {
    name: "steady: late streams cost an engine requests",
    file: "serving/choice.js",
    find: "penaltyMs: e.penaltyMs + costMs + pauseMs",
    put: "penaltyMs: e.penaltyMs + costMs",
    proof: "send an adapter elsewhere if most are late, even to an engine that must load it",
  },
  {
    name: "steady: a long prompt costs a slow engine requests",
    file: "serving/spread/pauses.js",
    find: "return LOADS_IF_TWICE * excess * coldMs;",
    put: "return 0;",
    proof:
      "goes to an engine that reads it without making its streams late, even to one that must load the adapter",
  },
];
