/**
 * Which endpoint a request goes to. Pure.
 * @module
 */
import * as hash from "../host/hash.js";
import * as backlog from "./backlog.js";
import type * as catalog from "./catalog.js";
import type * as seat from "./seat.js";

/** One endpoint as an entry daemon knows it. */
export interface View {
  readonly endpoint: catalog.Endpoint;
  /** The last state its endpoint daemon sent; undefined while none is connected. */
  readonly state: seat.State | undefined;
  /** What the engine held when its endpoint daemon was last heard. */
  readonly holdings: seat.Holdings | undefined;
  /** This host's requests under way there. */
  readonly own: number;
  /** Prompt tokens that this host asked seats for since the state was sent. */
  readonly ownTokens: number;
  /** Adapters that this host asked for since the state was sent and the engine did not hold. */
  readonly ownSlots: number;
  /** Part of this host's latest requests there that failed, 0 to 1. */
  readonly failing: number;
  /** Milliseconds that this host's latest requests there took. */
  readonly tookMs: number;
}

/** What a request needs. */
export interface Need {
  readonly model: string;
  /** Key of the adapter, or undefined for the base model. */
  readonly key: string | undefined;
  readonly promptTokens: number;
  readonly rank: number;
  readonly domain: string;
  /** Endpoints that this request has been to. */
  readonly tried: ReadonlySet<string>;
}

/** A candidate's estimate, in ms; the smallest total is chosen. */
export interface Estimate {
  readonly view: View;
  /** Until the first event, as far as known. */
  readonly firstMs: number;
  /** What the choice weighs besides: loads that cost others, failures, distance. */
  readonly extraMs: number;
}

/** Milliseconds that a load from an engine's host memory takes: a tenth of one from the store. */
const WARM_LOAD_MS = 25;
/** Milliseconds that a load from the weight store takes at full speed, by the users' letter. */
const COLD_LOAD_MS = 250;
/**
 * Milliseconds of waiting that a load from the store is weighed as, where another engine has the
 * adapter: on the users' sites such a load costs about as much as half of a short answer is worth.
 */
const COPY_MS = 500;
/** Milliseconds that each step down an adapter's own order of engines costs, to keep it at one. */
const ORDER_MS = 12;
/** Milliseconds that another failure domain is away, both ways, and what its bytes cost. */
const DOMAIN_MS = 6;
/** Milliseconds that an engine whose every run fails is weighed down by. */
const FAILING_MS = 4000;
/** Milliseconds that an engine of which nothing was heard is weighed down by. */
const UNHEARD_MS = 700;

/** Milliseconds that each adapter asked for since the state was heard is taken to add. */
const SLOT_MS = 120;

/** An engine whose endpoint daemon is not reached: of use for what it held when last heard alone. */
function unheard(view: View, need: Need, extraMs: number): Estimate {
  const usable =
    view.holdings?.models.includes(need.model) && holding(view, need.key) === "resident";
  const firstMs = usable ? backlog.readMs(need.promptTokens) : Infinity;
  return { view, firstMs, extraMs: extraMs + UNHEARD_MS };
}

/** Candidates that can serve a request on an engine, best first. */
export function engines(views: readonly View[], need: Need): readonly Estimate[] {
  const usable = views.filter((v) => !v.endpoint.leaving && !need.tried.has(v.endpoint.id));
  const elsewhere = usable.some((v) => holding(v, need.key) !== "absent");
  const order = ownOrder(usable, need.key);
  return usable
    .map((view) => estimate(view, need, elsewhere, order.get(view.endpoint.id) ?? 0))
    .filter((e) => Number.isFinite(e.firstMs))
    .sort((a, b) => a.firstMs + a.extraMs - (b.firstMs + b.extraMs));
}

/** Whether an engine has an adapter at hand, as last heard. */
export function holding(v: View, key: string | undefined): "resident" | "warm" | "absent" {
  if (key === undefined || v.holdings?.resident.includes(key)) return "resident";
  return v.holdings?.warm.includes(key) ? "warm" : "absent";
}

/** Where each endpoint stands in the order in which all hosts try engines for one adapter. */
function ownOrder(views: readonly View[], key: string | undefined): ReadonlyMap<string, number> {
  if (key === undefined) return new Map();
  const ranked = views
    .map((v) => ({ id: v.endpoint.id, rank: hash.of32(`${key}@${v.endpoint.address}`) }))
    .sort((a, b) => a.rank - b.rank);
  return new Map(ranked.map(({ id }, i) => [id, i]));
}

function estimate(view: View, need: Need, elsewhere: boolean, order: number): Estimate {
  const { state, holdings } = view;
  const far = view.endpoint.domain === need.domain ? 0 : DOMAIN_MS;
  const failingMs = Math.max(view.failing, state?.failing ?? 0) ** 2 * FAILING_MS;
  const extraMs = far + failingMs;
  if (!state) return unheard(view, need, extraMs);
  if (state.instance === "" || !holdings?.models.includes(need.model)) {
    return { view, firstMs: Infinity, extraMs };
  }
  const rank = Math.min(backlog.RANKS - 1, Math.max(0, Math.round(need.rank)));
  const queueMs = (state.waitMs[rank] ?? 0) + backlog.readMs(view.ownTokens);
  const ownMs = backlog.readMs(need.promptTokens);
  const slotMs = state.slotMs + view.ownSlots * SLOT_MS;
  switch (holding(view, need.key)) {
    case "resident":
      return { view, firstMs: queueMs + ownMs, extraMs };
    case "warm": {
      const firstMs = Math.max(queueMs, slotMs + WARM_LOAD_MS) + ownMs;
      return { view, firstMs, extraMs: extraMs + order * ORDER_MS };
    }
    case "absent": {
      const firstMs = Math.max(queueMs, slotMs + COLD_LOAD_MS) + ownMs;
      const copyMs = elsewhere ? COPY_MS : 0;
      return { view, firstMs, extraMs: extraMs + copyMs + order * ORDER_MS };
    }
  }
}

/** Milliseconds that a plain service's call takes until one was seen. */
const USUAL_CALL_MS = 45;

/** Candidates for a request to a plain service, best first. `random` breaks ties. */
export function plain(
  views: readonly View[],
  need: Pick<Need, "domain" | "tried">,
  random: () => number,
): readonly Estimate[] {
  return views
    .filter((v) => !v.endpoint.leaving && !need.tried.has(v.endpoint.id))
    .map((view) => {
      const far = view.endpoint.domain === need.domain ? 0 : DOMAIN_MS;
      const tookMs = view.tookMs > 0 ? view.tookMs : USUAL_CALL_MS;
      const firstMs = tookMs * (1 + (2 * view.own) / Math.max(1, view.endpoint.seats));
      const failingMs = view.failing ** 2 * FAILING_MS;
      return { view, firstMs, extraMs: far + failingMs + random() * DOMAIN_MS };
    })
    .sort((a, b) => a.firstMs + a.extraMs - (b.firstMs + b.extraMs));
}
