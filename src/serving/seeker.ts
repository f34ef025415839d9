/**
 * Finds an endpoint for a request, and a seat on it where it is an engine.
 * @module
 */
import * as clock from "../host/clock.js";
import * as admission from "./admission.js";
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

/** Milliseconds between looks for an endpoint while there is none. */
const LOOK_MS = 15;
/**
 * Milliseconds between looks for an engine that would take a waiting request sooner, and by how much
 * sooner it must be: more than what an estimate is off by at the median.
 */
const MOVE_LOOK_MS = 60;
const MOVE_GAIN_MS = 200;
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
    const from = p.sends === 0 ? a.arrivedAt : this.deps.clock.mono();
    for (;;) {
      const views = this.deps.endpoints.views(a.service);
      const best = this.candidates(a, p, views)[0];
      if (best || cut.aborted) return best;
      // Where all were tried, the least bad of them may have come back.
      const coming = views.some((v) => v.coming);
      const until = Math.min(a.dueAt, from + admission.absentMs(standing(a, from), coming));
      if (this.deps.clock.mono() >= until) return undefined;
      p.tried.clear();
      await clock.sleep(this.deps.clock, LOOK_MS, cut);
    }
  }

  private candidates(
    a: ask.Ask,
    p: progress.Progress,
    views: readonly choice.View[],
    waitsAt?: string,
  ): readonly choice.Estimate[] {
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
      targetMs: a.arrivedAt + a.route.targetMs - this.deps.clock.mono(),
      waitsAt,
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
    const now = this.deps.clock.mono();
    const from = p.sends === 0 ? a.arrivedAt : now;
    const asked = this.deps.endpoints.link(endpoint).ask({
      request: a.meta.id,
      model: target.model,
      ...(target.adapter !== undefined && { adapter: target.adapter }),
      version: key === undefined ? 0 : (this.deps.catalog().versions.get(key) ?? 0),
      promptTokens: a.meta.promptTokens,
      answerTokens: a.meta.answerTokens,
      rank: a.route.rank,
      targetMs: Math.max(0, a.arrivedAt + a.route.targetMs - now),
      leftMs: Math.max(1, from + admission.holdMs(standing(a, from)) - now),
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
        // It may have begun to leave while the request waited.
        if (this.deps.catalog().endpoints.get(endpoint.id)?.leaving !== false) {
          asked.over("left");
          p.tried.add(endpoint.id);
          return "none";
        }
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
    const list = this.candidates(a, p, this.deps.endpoints.views(a.service), id);
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
