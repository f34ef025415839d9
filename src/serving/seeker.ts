/**
 * Finds an endpoint for a request, and a seat on it where it is an engine.
 * @module
 */
import * as clock from "../host/clock.js";
import type * as ask from "./ask.js";
import * as catalog from "./catalog.js";
import * as choice from "./choice.js";
import type * as endpoints from "./endpoints.js";
import type * as link from "./link.js";
import type * as progress from "./progress.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly endpoints: endpoints.Endpoints;
  readonly catalog: () => catalog.Catalog;
  readonly random: () => number;
}

/** Part of its target that a request without an endpoint waits for one; refusals must come early. */
export const WAIT_PART = 0.2;
/** Milliseconds between looks for an endpoint while there is none. */
const LOOK_MS = 15;
/**
 * Callers leave a stream that is silent for the longest of these: some time, some targets, some of
 * the pauses that are on time. By the users' pages.
 */
const PATIENCE_MS = 2000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;
/** Part of its time that a request is held at most for a seat: over half of it counts as lost. */
const HOLD_PART = 0.42;
/**
 * Milliseconds between looks for an engine that would take a waiting request sooner, and by how much
 * sooner it must be: more than what an estimate is off by at the median.
 */
const MOVE_LOOK_MS = 60;
const MOVE_GAIN_MS = 200;
/**
 * Estimated first event, as a part of the target, above which a request is refused at once instead
 * of being late: a rank that is less urgent gives way sooner.
 */
const LATEST_BY_RANK = [1.4, 1.3, 1.0] as const;
/** A seat that was given. */
export interface Granted extends link.Seat {
  readonly version: number | undefined;
  readonly instance: string;
}

export class Seeker {
  constructor(
    /** Failure domain of this host. */
    private readonly domain: string,
    private readonly deps: Deps,
  ) {}

  /** Whether a request should be refused at once instead of being late. */
  tooLate(a: ask.Ask, best: choice.Estimate): boolean {
    const factor = LATEST_BY_RANK[a.route.rank] ?? LATEST_BY_RANK[2];
    return a.service.engine !== undefined && best.firstMs > a.route.targetMs * factor;
  }

  /** The best endpoint; waits a little for one where there is none. */
  async pick(
    a: ask.Ask,
    p: progress.Progress,
    cut: AbortSignal,
  ): Promise<choice.Estimate | undefined> {
    const from = p.sends === 0 ? a.arrivedAt : this.deps.clock.mono();
    const until = Math.min(a.dueAt, from + a.route.targetMs * WAIT_PART);
    for (;;) {
      const best = this.candidates(a, p)[0];
      if (best || cut.aborted) return best;
      // Where all were tried, the least bad of them may have come back.
      if (this.deps.clock.mono() >= until) return undefined;
      p.tried.clear();
      await clock.sleep(this.deps.clock, LOOK_MS, cut);
    }
  }

  private candidates(a: ask.Ask, p: progress.Progress): readonly choice.Estimate[] {
    const views = this.deps.endpoints.views(a.service);
    const { target } = a.meta;
    const { domain } = this;
    if (!a.service.engine || !target) {
      return choice.plain(views, { domain, tried: p.tried }, this.deps.random);
    }
    return choice.engines(views, {
      model: target.model,
      key: target.adapter && catalog.adapterKey(target.model, target.adapter),
      promptTokens: a.meta.promptTokens,
      rank: a.route.rank,
      domain,
      tried: p.tried,
    });
  }

  /** A seat on an engine; "none" when it cannot be had there, undefined to go without. */
  async seat(
    a: ask.Ask,
    best: choice.Estimate,
    p: progress.Progress,
    cut: AbortSignal,
  ): Promise<Granted | "none" | undefined> {
    const { endpoint } = best.view;
    const { target } = a.meta;
    if (!target) return undefined;
    const key = target.adapter && catalog.adapterKey(target.model, target.adapter);
    const asked = this.deps.endpoints.link(endpoint).ask({
      request: a.meta.id,
      model: target.model,
      ...(target.adapter !== undefined && { adapter: target.adapter }),
      version: key === undefined ? 0 : (this.deps.catalog().versions.get(key) ?? 0),
      promptTokens: a.meta.promptTokens,
      answerTokens: a.meta.answerTokens,
      rank: a.route.rank,
      targetMs: Math.max(0, a.arrivedAt + a.route.targetMs - this.deps.clock.mono()),
      leftMs: Math.max(1, holdMs(a, p, this.deps.clock.mono())),
    });
    const left = (): void => {
      asked.over("left");
    };
    cut.addEventListener("abort", left, { once: true });
    const answer = await this.answerOrMove(a, p, best, asked);
    cut.removeEventListener("abort", left);
    switch (answer.kind) {
      case "moved":
        return "none";
      case "grant":
        return { ...asked, version: answer.version, instance: answer.instance };
      case "deny":
        p.tried.add(endpoint.id);
        p.why = `the engine's seat was denied: ${answer.reason}`;
        return "none";
      case "unreachable":
        if (cut.aborted) return "none";
        p.why = "the endpoint daemon is not reached";
        // What the engine held may still be there, and it refuses what it does not hold.
        if (choice.holding(best.view, key) === "resident") return undefined;
        p.tried.add(endpoint.id);
        return "none";
    }
  }

  /** Waits for the answer to a wish; gives it up when another engine could take the request sooner. */
  private async answerOrMove(
    a: ask.Ask,
    p: progress.Progress,
    best: choice.Estimate,
    asked: link.Seat,
  ): Promise<link.Answer | { readonly kind: "moved" }> {
    let answer: link.Answer | undefined;
    const settled = asked.answer.then((got) => {
      answer = got;
    });
    for (;;) {
      const woken = new AbortController();
      await Promise.race([settled, clock.sleep(this.deps.clock, MOVE_LOOK_MS, woken.signal)]);
      woken.abort();
      if (answer) return answer;
      if (!this.soonerElsewhere(a, p, best.view.endpoint.id)) continue;
      asked.over("left");
      return { kind: "moved" };
    }
  }

  /** Whether another engine than `id` would now take a request much sooner. */
  private soonerElsewhere(a: ask.Ask, p: progress.Progress, id: string): boolean {
    const list = this.candidates(a, p);
    const top = list[0];
    const here = list.find((e) => e.view.endpoint.id === id);
    if (!top || top === here) return false;
    if (!here) return true;
    const sooner = here.firstMs + here.extraMs - (top.firstMs + top.extraMs);
    return sooner > MOVE_GAIN_MS;
  }
}

/** Milliseconds for which a request is held for a seat; then its caller is better told to come back. */
function holdMs(a: ask.Ask, p: progress.Progress, now: number): number {
  const { targetMs, gapMs } = a.route;
  const gaps = Number.isFinite(gapMs) ? PATIENCE_GAPS * gapMs : 0;
  const patienceMs = Math.max(PATIENCE_MS, PATIENCE_TARGETS * targetMs, gaps);
  const from = p.sends === 0 ? a.arrivedAt : now;
  return from + HOLD_PART * Math.min(a.dueAt - from, patienceMs) - now;
}
