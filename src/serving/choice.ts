/**
 * Ranks the endpoints that a request may go to by estimated latency and further costs. Pure functions.
 * @module
 */
import * as admission from "./admission.js";
import * as backlog from "./backlog.js";
import type * as catalog from "./catalog.js";
import * as prefillSpeed from "./prefill-speed.js";
import type * as seatMessages from "./seat-messages.js";
import * as callLatency from "./spread/call-latency.js";
import * as crowding from "./spread/crowding.js";
import * as pauses from "./spread/pauses.js";
import * as idleSpeed from "./spread/idle-speed.js";
import * as announcedShares from "./sharing/announced-shares.js";

/** The models and adapters of an engine, as last reported to an entry daemon. */
export interface Holdings {
  readonly models: readonly string[];
  /** Keys of the adapters that can be used at once, or soon. */
  readonly resident: readonly string[];
  /** Versions of these adapters by key, as far as they are known. */
  readonly versions?: ReadonlyMap<string, number> | undefined;
  /** Keys of the adapters that load fast. */
  readonly warm: readonly string[];
}

/** What an entry daemon knows of one endpoint. */
export interface View {
  readonly endpoint: catalog.Endpoint;
  /** The last state that its endpoint daemon sent; undefined while that daemon is not connected or is unresponsive. */
  readonly state: seatMessages.State | undefined;
  /** The last holdings that its endpoint daemon sent. */
  readonly holdings: Holdings | undefined;
  /** Number of this host's requests in flight there. */
  readonly inFlight: number;
  /** Prompt tokens of the seats that this host requested since it received the state. */
  readonly pendingTokens: number;
  /** Seats that this host requested since it received the state for adapters that were not resident. */
  readonly pendingSlots: number;
  /** Fraction of this host's latest requests there that failed, 0 to 1. */
  readonly failureRate: number;
  /** Average latency of this host's latest requests there, in milliseconds; 0 before the first. */
  readonly latencyMs: number;
  /** Milliseconds since the last of these requests ended; undefined before the first. */
  readonly latencyAgeMs?: number | undefined;
  /** Whether its engine is starting: it runs without its base model yet, or its daemon was not connected yet. */
  readonly isStarting: boolean;
  /** Its index in the order in which all hosts try engines for the adapter; 0 is tried first. */
  readonly orderIndex: number;
  /** Milliseconds since its state was received. */
  readonly stateAgeMs: number;
  /** Milliseconds since a seat was open on it, by the states received; undefined where that is unknown. */
  readonly idleMs?: number | undefined;
  /** Milliseconds until the limit that it announced admits one more request; 0 where it has no limit. */
  readonly limitWaitMs: number;
  /** Milliseconds until it accepts a request of this host, regardless of its limit; Infinity where it is leaving. */
  readonly availableInMs: number;
}

/** What a request requires of an endpoint. */
export interface Need {
  readonly model: string;
  /** Key of the adapter; undefined for the base model. */
  readonly key: string | undefined;
  /** Oldest version of the adapter on which it may be sent; 0 or undefined if there is no limit. */
  readonly oldestVersion?: number | undefined;
  readonly promptTokens: number;
  readonly rank: number;
  /** Team of the caller, if any. */
  readonly team?: string | undefined;
  readonly domain: string;
  /** Ids of the endpoints that this request has already tried. */
  readonly tried: ReadonlySet<string>;
  /** Milliseconds left until its first event misses the route's target. */
  readonly targetMs: number;
  /** Id of the endpoint where it waits for a seat, whose backlog already includes it. */
  readonly waitsAt?: string | undefined;
}

/** The estimated cost of a candidate, in ms; the smallest sum of `firstMs` and `penaltyMs` is best. */
export interface Estimate {
  readonly view: View;
  /** Estimated time until the first event; Infinity where the endpoint cannot serve the request. */
  readonly firstMs: number;
  /** The part of `firstMs` that remains on an idle endpoint, where the request waits for nothing. */
  readonly serviceMs: number;
  /** Further costs: loads that delay other requests, crowding, failures, distance. */
  readonly penaltyMs: number;
  /** Crowding expected now; undefined where no engine compared announces any. */
  readonly crowding?: number | undefined;
}

/**
 * Penalty for loading an adapter from the weight store while another engine has it, in cold loads. A load takes its own
 * time, and delays the next load that the store has to serve.
 */
const COPY_PENALTY_LOADS = 2;
/**
 * Penalty for missing the target, in cold loads. It makes a second copy of an adapter likelier where the engine that
 * has the adapter would miss the target and another engine would not.
 */
const LATE_PENALTY_LOADS = 1;
/** Penalty in milliseconds for each step down an adapter's order of engines, which keeps the adapter on one engine. */
const ORDER_PENALTY_MS = 12;
/** Penalty in milliseconds for another failure domain: the round trip there, and the cost of the traffic. */
const DOMAIN_PENALTY_MS = 6;
/** Penalty in milliseconds for an endpoint where every request fails. */
const FAILURE_PENALTY_MS = 4000;
/** Penalty in milliseconds for an engine whose state is unknown. */
const UNKNOWN_STATE_PENALTY_MS = 700;

/** Version of the adapter on an engine, by the last holdings received; undefined if that is not known. */
export function heldVersion(v: View, key: string | undefined): number | undefined {
  return key === undefined ? undefined : v.holdings?.versions?.get(key);
}

/**
 * Estimate for an engine whose endpoint daemon is not connected or is unresponsive. It is usable only for adapters that
 * were resident by the last holdings received, in a version that is not outdated: nobody could have a newer one loaded.
 */
function estimateWithoutState(c: Candidate, need: Need, basePenaltyMs: number): Estimate {
  const { view } = c;
  const usable = view.holdings?.models.includes(need.model) && c.adapter === "resident";
  const serviceMs = prefillSpeed.firstEventMs(prefillSpeed.INITIAL, need.promptTokens);
  return {
    view,
    firstMs: usable ? serviceMs : Infinity,
    serviceMs,
    penaltyMs: basePenaltyMs + UNKNOWN_STATE_PENALTY_MS,
  };
}

/** The engines that can serve a request, best first. */
export function rankEngines(views: readonly View[], need: Need): readonly Estimate[] {
  const usable = views.filter((v) => isUsable(v, need));
  const candidates = usable.map((view) => candidateOf(view, need));
  const summary: FleetSummary = {
    hasAdapter: candidates.some((c) => c.adapter === "resident" || c.adapter === "warm"),
    meanWaitMs: meanWaitMsOf(usable, need),
    crowdingMeans: crowding.meansOf(usable),
    usualSpeed: idleSpeed.medianOf(usable),
  };
  return candidates
    .map((c) => addSteadyCosts(estimate(c, need, summary), c, need, summary))
    .filter((e) => Number.isFinite(e.firstMs))
    .sort((a, b) => a.firstMs + a.penaltyMs - (b.firstMs + b.penaltyMs));
}

/**
 * Whether a request may go to an endpoint: the endpoint accepts requests and was not tried yet, and its limit admits
 * the request soon, or the request already waits there.
 */
function isUsable(v: View, need: Pick<Need, "tried" | "waitsAt">): boolean {
  if (v.availableInMs > 0 || need.tried.has(v.endpoint.id)) return false;
  return v.limitWaitMs <= admission.MAX_LIMIT_WAIT_MS || need.waitsAt === v.endpoint.id;
}

/** An engine that is compared, with what several parts of its estimate need. */
interface Candidate {
  readonly view: View;
  /** Whether it has the adapter, by the last holdings received. */
  readonly adapter: AdapterState;
  /** Weight of its state by age, 0 to 1. */
  readonly stateWeight: number;
}

function candidateOf(view: View, need: Need): Candidate {
  const stateWeight = weightAt(view.stateAgeMs);
  return { view, adapter: adapterState(view, need.key, need.oldestVersion), stateWeight };
}

/** What the estimate of one candidate takes from all candidates. */
interface FleetSummary {
  /** Whether the adapter is resident or warm on some candidate. */
  readonly hasAdapter: boolean;
  /** Mean of the waiting times that the candidates reported. */
  readonly meanWaitMs: number;
  /** Means over the candidates that announced crowding; undefined if none did. */
  readonly crowdingMeans: crowding.Means | undefined;
  /** Median speed of the candidates that announced crowding; undefined if none did. */
  readonly usualSpeed: idleSpeed.Speed | undefined;
}

/**
 * Half-life, in milliseconds, of the difference between an engine's reported waiting time, or crowding, and the mean of
 * all engines. In a large fleet each engine gets about four prompts of 120 ms a second. Half a second then changes a
 * queue by about as much as queues differ, and the other hosts have meanwhile filled the queue that was reported as
 * short.
 */
const WAIT_HALF_LIFE_MS = 500;

function reportedWaitMs(
  state: seatMessages.State,
  { rank, team }: Pick<Need, "rank" | "team">,
): number {
  return announcedShares.waitsFor(state, team)[backlog.rankIndex(rank)] ?? 0;
}

function meanWaitMsOf(views: readonly View[], need: Pick<Need, "rank" | "team">): number {
  let sum = 0;
  let count = 0;
  for (const { state } of views) {
    if (!state || state.instance === "") continue;
    sum += reportedWaitMs(state, need);
    count++;
  }
  return count === 0 ? 0 : sum / count;
}

/** Weight of a state reported `ageMs` ago. */
function weightAt(ageMs: number): number {
  return 2 ** (-ageMs / WAIT_HALF_LIFE_MS);
}

/** The value expected now, from one reported in a state of this weight: it decays towards the mean of all engines. */
function decayed(reported: number, stateWeight: number, mean: number): number {
  return mean + (reported - mean) * stateWeight;
}

/**
 * Adds the costs of an engine with steady streams: the crowding expected on it now, its late streams, and those that the
 * prompt may make late.
 */
function addSteadyCosts(e: Estimate, c: Candidate, need: Need, summary: FleetSummary): Estimate {
  const { state } = c.view;
  const { crowdingMeans: means } = summary;
  if (!state || !means) return e;
  // An engine that announces none, as before an update of its daemon, counts as the mean.
  const announced = decayed(state.crowding ?? means.crowding, c.stateWeight, means.crowding);
  const own = crowding.ofReading(pendingTokensOf(e.view, need) * state.msPerToken);
  // Load times are learned by each engine. With its own, an engine of slow loads would seem more crowded than others.
  const copyMs = (COPY_PENALTY_LOADS + 1) * means.coldMs;
  const costMs = crowding.costMs(announced + own, copyMs, summary.hasAdapter);
  const pauseMs =
    pauses.costMs(state.lateStreams ?? 0, means.coldMs) +
    pauses.longPromptMs(need.promptTokens, state.steadyPromptTokens, means.coldMs);
  // Listing the fields is several times as fast as a spread, and this runs for each engine compared.
  return {
    view: e.view,
    firstMs: e.firstMs,
    serviceMs: e.serviceMs,
    penaltyMs: e.penaltyMs + costMs + pauseMs,
    crowding: announced + own,
  };
}

/** Prompt tokens of this host's other requests that the state of an engine does not include. */
function pendingTokensOf(view: View, need: Need): number {
  // Where the request already waits, the engine's backlog includes its tokens.
  return view.pendingTokens - (need.waitsAt === view.endpoint.id ? need.promptTokens : 0);
}

/**
 * Where an engine has an adapter: in a slot, there in an outdated version that is still in use, in its host's memory, or
 * nowhere.
 */
type AdapterState = "resident" | "outdated" | "warm" | "absent";

/** Where an engine has an adapter, by the last holdings received; versions before `oldestVersion` are outdated. */
export function adapterState(v: View, key: string | undefined, oldestVersion = 0): AdapterState {
  if (key === undefined) return "resident";
  if (v.holdings?.resident.includes(key))
    return (heldVersion(v, key) ?? Infinity) < oldestVersion ? "outdated" : "resident";
  return v.holdings?.warm.includes(key) ? "warm" : "absent";
}

function estimate(c: Candidate, need: Need, summary: FleetSummary): Estimate {
  const { view } = c;
  const { state, holdings, orderIndex } = view;
  const domainPenaltyMs = view.endpoint.domain === need.domain ? 0 : DOMAIN_PENALTY_MS;
  const failurePenaltyMs =
    Math.max(view.failureRate, state?.failing ?? 0) ** 2 * FAILURE_PENALTY_MS;
  const penaltyMs = domainPenaltyMs + failurePenaltyMs;
  if (!state) return estimateWithoutState(c, need, penaltyMs);
  const speed = idleSpeed.expected(state, view.idleMs, summary.usualSpeed);
  const serviceMs = speed.firstMs + need.promptTokens * speed.msPerToken;
  if (state.instance === "" || !holdings?.models.includes(need.model)) {
    return { view, firstMs: Infinity, serviceMs, penaltyMs };
  }
  const ownQueueMs = pendingTokensOf(view, need) * state.msPerToken;
  const reportedMs = decayed(reportedWaitMs(state, need), c.stateWeight, summary.meanWaitMs);
  const limitedMs = need.waitsAt === view.endpoint.id ? 0 : view.limitWaitMs;
  const queueMs = Math.max(0, reportedMs + ownQueueMs, limitedMs);
  // Where the request already waits, the state includes its slot too. Otherwise it would move to another engine at each
  // comparison.
  const countedSlotMs = need.waitsAt === view.endpoint.id ? state.eachSlotMs : 0;
  const freeMs = announcedShares.slotMsFor(state, need.team);
  const slotMs = Math.max(0, freeMs + view.pendingSlots * state.eachSlotMs - countedSlotMs);
  const firstMs = Math.max(queueMs, adapterMs(c.adapter, state, holdings, slotMs)) + serviceMs;
  const isCopy = c.adapter === "absent" && summary.hasAdapter;
  const copyPenaltyMs = isCopy ? COPY_PENALTY_LOADS * state.coldMs : 0;
  const latePenaltyMs = firstMs > need.targetMs ? LATE_PENALTY_LOADS * state.coldMs : 0;
  const orderPenaltyMs = orderIndex * ORDER_PENALTY_MS;
  return {
    view,
    firstMs,
    serviceMs,
    penaltyMs: penaltyMs + latePenaltyMs + copyPenaltyMs + orderPenaltyMs,
  };
}

/** Milliseconds until an engine can use an adapter; `slotMs` is the time until a slot for it is free. */
function adapterMs(
  adapter: AdapterState,
  state: seatMessages.State,
  holdings: Holdings,
  slotMs: number,
): number {
  switch (adapter) {
    case "resident":
      return 0;
    case "outdated":
      // The engine replaces it once the runs that use it have ended: about as long as a run of each slot takes.
      return state.eachSlotMs * holdings.resident.length + state.coldMs;
    case "warm":
      return slotMs + state.warmMs;
    case "absent":
      return slotMs + state.coldMs;
  }
}

/** The endpoints of a plain service that can serve a request, best first. `random` breaks ties. */
export function rankPlain(
  views: readonly View[],
  need: Pick<Need, "domain" | "tried">,
  random: () => number,
): readonly Estimate[] {
  const expectedMs = callLatency.expectation(views);
  return views
    .filter((v) => isUsable(v, need))
    .map((view) => {
      const domainPenaltyMs = view.endpoint.domain === need.domain ? 0 : DOMAIN_PENALTY_MS;
      const serviceMs = expectedMs(view);
      const busyMs = serviceMs * (1 + (2 * view.inFlight) / Math.max(1, view.endpoint.seats));
      const firstMs = view.limitWaitMs + busyMs;
      const failurePenaltyMs = view.failureRate ** 2 * FAILURE_PENALTY_MS;
      return {
        view,
        firstMs,
        serviceMs,
        penaltyMs: domainPenaltyMs + failurePenaltyMs + random() * DOMAIN_PENALTY_MS,
      };
    })
    .sort((a, b) => a.firstMs + a.penaltyMs - (b.firstMs + b.penaltyMs));
}
