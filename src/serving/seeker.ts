/**
 * Finds an endpoint for a request, and a seat on it where it is an engine.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as admission from "./admission.js";
import type * as ask from "./ask.js";
import * as catalog from "./catalog.js";
import * as choice from "./choice.js";
import type * as endpoints from "./endpoints.js";
import type * as link from "./link.js";
import type * as progress from "./progress.js";
import * as search from "./search.js";
import type * as workerNotices from "./worker-notices.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly endpoints: endpoints.Endpoints;
  readonly notices: Pick<workerNotices.WorkerNotices, "whenClosed">;
  readonly catalog: () => catalog.Catalog;
  readonly random: () => number;
}

/**
 * Milliseconds until those that did not take a request are tried again, where there is no other; an
 * endpoint that comes meanwhile is tried at once.
 */
const AGAIN_MS = 100;
/**
 * Milliseconds until the first look for an engine that would take a waiting request sooner; each further
 * one comes after twice the time, so that a long wait costs few looks. By how much sooner it must be: more
 * than what an estimate is mostly off by.
 */
const MOVE_LOOK_MS = 60;
const MOVE_GAIN_MS = 200;
/**
 * Times that a request may be sent back by engines with too long a queue. Each time costs a way to an
 * engine; a third engine that knows no better is no surprise but a full fleet.
 */
const DIVERSIONS = 2;

const CLOSED = "all workers that could run it leave, are at their limits or asked for a pause";

/** A seat that was given. */
export interface Granted extends link.Seat {
  readonly version: number | undefined;
  readonly instance: string;
}

/** What came of looking for a seat. */
export type Found =
  | { readonly kind: "seat"; readonly seat: Granted }
  /** The request goes to the engine without a seat: its daemon is away, what it held may be there. */
  | { readonly kind: "seatless" }
  /** Not there; another engine may have one. */
  | { readonly kind: "elsewhere" }
  /** It was sent back at once, before it waited. */
  | { readonly kind: "diverted" };

export class Seeker {
  constructor(
    /** Failure domain of this host. */
    private readonly domain: string,
    private readonly deps: Deps,
  ) {}

  /** Whether a request is let in, as things stand at its best endpoint. */
  judge(a: ask.Ask, best: choice.Estimate): admission.Verdict {
    if (!a.service.engine) return { kind: "serve" };
    return admission.judge(standing(a, this.deps.clock.mono()), best);
  }

  /** The best endpoint; waits a little for one where there is none. */
  async pick(
    a: ask.Ask,
    p: progress.Progress,
    cut: AbortSignal,
  ): Promise<choice.Estimate | undefined> {
    for (;;) {
      const best = this.candidates(a, p)[0];
      if (best || cut.aborted) return best;
      const coming = this.deps.endpoints.coming(a.service);
      const until = p.waitsFrom + admission.absentMs(standing(a, p.waitsFrom), coming);
      const leftMs = Math.min(a.dueAt, until) - this.deps.clock.mono();
      const opens = this.deps.endpoints.opens(a.service);
      if (opens && !coming && opens.inMs > leftMs) {
        p.opensInMs = admission.returnMs(opens.inMs, this.deps.random());
        p.closedBy = opens.reason;
        p.why = CLOSED;
        return undefined;
      }
      if (leftMs <= 0) return undefined;
      // Where all were tried, the least bad of them may have come back.
      await this.someCome(Math.min(leftMs, AGAIN_MS, opens?.inMs ?? Infinity), cut);
      p.tried.clear();
    }
  }

  /** Resolves once an endpoint may be of use that was not, after `ms`, or when `cut` aborts. */
  private someCome(ms: number, cut: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.cancel();
        forget();
        cut.removeEventListener("abort", wake);
        resolve();
      };
      const timer = this.deps.clock.after(ms, wake);
      const forget = this.deps.endpoints.whenSomeCome(wake);
      cut.addEventListener("abort", wake, { once: true });
    });
  }

  private candidates(
    a: ask.Ask,
    p: progress.Progress,
    waitsAt?: string,
  ): readonly choice.Estimate[] {
    const { target } = a.meta;
    const { domain } = this;
    if (!a.service.engine || !target) {
      const views = this.deps.endpoints.views(a.service);
      return choice.plain(views, { domain, tried: p.tried }, this.deps.random);
    }
    const need: choice.Need = {
      model: target.model,
      key: target.adapter && catalog.adapterKey(target.model, target.adapter),
      promptTokens: a.meta.promptTokens,
      rank: a.route.rank,
      domain,
      tried: p.tried,
      targetMs: a.arrivedAt + a.route.targetMs - this.deps.clock.mono(),
      waitsAt,
    };
    return search.find(this.deps.endpoints.fleet(a.service), need, a.meta.id);
  }

  /** Milliseconds for which a request may still be held for a seat. */
  heldMs(a: ask.Ask, p: progress.Progress): number {
    return p.waitsFrom + admission.holdMs(standing(a, p.waitsFrom)) - this.deps.clock.mono();
  }

  /** A seat on an engine. */
  async seat(
    a: ask.Ask,
    best: choice.Estimate,
    p: progress.Progress,
    cut: AbortSignal,
  ): Promise<Found> {
    const { endpoint } = best.view;
    const { target } = a.meta;
    if (!target) return { kind: "seatless" };
    const key = target.adapter && catalog.adapterKey(target.model, target.adapter);
    const now = this.deps.clock.mono();
    const asked = this.deps.endpoints.link(endpoint).ask({
      request: a.meta.id,
      model: target.model,
      ...(target.adapter !== undefined && { adapter: target.adapter }),
      version: key === undefined ? 0 : (this.deps.catalog().versions.get(key) ?? 0),
      promptTokens: a.meta.promptTokens,
      answerTokens: a.meta.answerTokens,
      rank: a.route.rank,
      targetMs: Math.max(0, a.arrivedAt + a.route.targetMs - now),
      leftMs: Math.max(1, this.heldMs(a, p)),
      firm: p.diverted.has(endpoint.id) || p.diverted.size >= DIVERSIONS,
    });
    const left = (): void => {
      asked.over("left");
    };
    cut.addEventListener("abort", left, { once: true });
    const answer = await this.answerOrMove(a, p, best, asked);
    cut.removeEventListener("abort", left);
    switch (answer.kind) {
      case "moved":
        return { kind: "elsewhere" };
      case "grant":
        return {
          kind: "seat",
          seat: { ...asked, version: answer.version, instance: answer.instance },
        };
      case "deny":
        p.why = `the engine's seat was denied: ${answer.reason}`;
        if (answer.reason === "busy") {
          p.diverted.add(endpoint.id);
          return { kind: "diverted" };
        }
        p.tried.add(endpoint.id);
        return { kind: "elsewhere" };
      case "unreachable":
        if (cut.aborted) return { kind: "elsewhere" };
        p.why = "the endpoint daemon is not reached";
        // What the engine held may still be there, and it refuses what it does not hold.
        if (choice.holding(best.view, key) === "resident") return { kind: "seatless" };
        p.tried.add(endpoint.id);
        return { kind: "elsewhere" };
    }
  }

  /** Waits for the answer to a wish; gives it up when the engine closes, or another could take the request sooner. */
  private answerOrMove(
    a: ask.Ask,
    p: progress.Progress,
    best: choice.Estimate,
    asked: link.Seat,
  ): Promise<link.Answer | { readonly kind: "moved" }> {
    return new Promise((resolve) => {
      const { id } = best.view.endpoint;
      let lookMs = MOVE_LOOK_MS * 2 ** p.moves;
      const move = (): void => {
        timer.cancel();
        resolve({ kind: "moved" });
        asked.over("left");
      };
      const look = (): void => {
        if (this.soonerElsewhere(a, p, id)) {
          p.moves++;
          move();
          return;
        }
        lookMs *= 2;
        timer = this.deps.clock.after(lookMs, look);
      };
      let timer = this.deps.clock.after(lookMs, look);
      const forget = this.deps.notices.whenClosed(id, move);
      void asked.answer.then((answer) => {
        timer.cancel();
        forget();
        resolve(answer);
      });
    });
  }

  /** Whether another engine than `id` would now take a request much sooner. */
  private soonerElsewhere(a: ask.Ask, p: progress.Progress, id: string): boolean {
    const list = this.candidates(a, p, id);
    const top = list[0];
    const here = list.find((e) => e.view.endpoint.id === id);
    if (!top || top === here) return false;
    if (!here) return true;
    const sooner = here.firstMs + here.extraMs - (top.firstMs + top.extraMs);
    return sooner > MOVE_GAIN_MS;
  }
}

/** How a request stands at the monotonic ms `at`. */
function standing(a: ask.Ask, at: number): admission.Standing {
  const { rank, targetMs, gapMs } = a.route;
  return { rank, targetMs, gapMs, leftMs: a.dueAt - at };
}
