/**
 * Picks an endpoint for a request, and gets a seat on it where it is an engine.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as admission from "./admission.js";
import type * as callerRequest from "./caller-request.js";
import * as catalog from "./catalog.js";
import * as choice from "./choice.js";
import * as deadline from "./deadlines/deadline.js";
import type * as endpointRegistry from "./endpoint-registry.js";
import * as incarnation from "./incarnation.js";
import type * as link from "./link.js";
import * as seatless from "./overload/seatless.js";
import * as steady from "./pacing/steady.js";
import type * as progress from "./progress.js";
import * as search from "./search.js";
import * as crowding from "./spread/crowding.js";
import * as announcedShares from "./sharing/announced-shares.js";
import type * as adapterVersions from "./versions/adapter-versions.js";
import type * as softwareVersions from "./versions/software-versions.js";
import type * as workerNotices from "./worker-notices.js";

/** What a seat finder needs of the entry daemon. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly endpoints: endpointRegistry.EndpointRegistry;
  readonly notices: Pick<workerNotices.WorkerNotices, "whenClosed">;
  readonly catalog: () => catalog.Catalog;
  readonly random: () => number;
  readonly versions: adapterVersions.AdapterVersions;
  readonly software: softwareVersions.SoftwareVersions;
}

/**
 * Milliseconds after which endpoints that did not take a request are tried again, where there is no other endpoint. One
 * that becomes available meanwhile is tried at once.
 */
const RETRY_MS = 100;
/**
 * Milliseconds until a waiting request is first compared with other engines. The interval doubles with each comparison,
 * so that a long wait costs few of them.
 */
const FIRST_COMPARE_MS = 60;
/** Milliseconds by which another engine must be sooner for a waiting request to move; most estimates err by less. */
const MIN_GAIN_MS = 200;
/**
 * Number of engines that may turn a request away because their queue is too long. Each costs a round trip, and if a
 * third engine is just as busy, the whole fleet is full.
 */
const MAX_DIVERSIONS = 2;

const ALL_CLOSED = "all workers that could run it leave, are at their limits or asked for a pause";

/** A granted seat, with the adapter version and the engine's incarnation that it is for. */
export interface GrantedSeat extends link.PendingSeat {
  readonly version: number | undefined;
  readonly instance: string;
}

/** Result of the attempt to get a seat on one engine. */
export type SeatResult =
  | { readonly kind: "seat"; readonly seat: GrantedSeat }
  /**
   * The request goes to the engine without a seat: its daemon is unreachable, but it may still have the adapter, in this
   * version. Undefined if the request is for no adapter, or no version of the adapter is known.
   */
  | { readonly kind: "seatless"; readonly version: number | undefined }
  /** No seat on this engine; another engine may have one. */
  | { readonly kind: "elsewhere" }
  /** The engine turned the request away at once because its queue is too long. */
  | { readonly kind: "diverted" };

/** Picks endpoints, and gets seats on engines, for the requests of one entry daemon. */
export class SeatFinder {
  constructor(
    /** Failure domain of this host. */
    private readonly domain: string,
    private readonly deps: Deps,
  ) {}

  /** Decides whether a request is admitted, by the estimate of its best endpoint. */
  admit(
    a: callerRequest.CallerRequest,
    p: progress.Progress,
    best: choice.Estimate,
  ): admission.Decision {
    if (!a.service.engine) return admission.SERVE;
    const givesWay = announcedShares.givesWay(best.view.state, a.caller?.team.name);
    const { config } = this.deps.catalog();
    // One number for all decisions on a request, so that one that engines send back is not refused more often.
    if (config && steady.hasSteadyStreams(config)) p.admissionDraw ??= this.deps.random();
    const times = timesOf(a, p, this.deps.clock.mono());
    return admission.decide(times, best, givesWay, p.admissionDraw);
  }

  /** Picks the best endpoint. Where none is usable, waits for a limited time until one is. */
  async pick(
    a: callerRequest.CallerRequest,
    p: progress.Progress,
    signal: AbortSignal,
  ): Promise<choice.Estimate | undefined> {
    for (;;) {
      const ranking = this.candidates(a, p);
      const [best] = ranking;
      p.crowding = crowding.compare(ranking) ?? p.crowding;
      if (best || signal.aborted) return best;
      const software = p.origin?.software;
      if (software !== undefined && !this.deps.endpoints.isServed(a.service, software)) {
        p.why = `no worker of software version ${software || "(none)"}, which began the stream, is left`;
        return undefined;
      }
      const accepts = this.deps.software.filter(a, p);
      const isStarting = this.deps.endpoints.hasStartingEngine(a.service, accepts);
      const waitsUntil =
        p.queuedAt + admission.maxEndpointWaitMs(timesOf(a, p, p.queuedAt), isStarting);
      const leftMs = Math.min(deadline.dueAt(a, p), waitsUntil) - this.deps.clock.mono();
      const opening = this.deps.endpoints.nextOpening(a.service, accepts);
      if (opening && !isStarting && opening.inMs > leftMs) {
        p.opensInMs = admission.retryWhenOpenMs(opening.inMs, this.deps.random());
        p.closedBy = opening.reason;
        p.why = ALL_CLOSED;
        return undefined;
      }
      if (leftMs <= 0) return undefined;
      // Endpoints that failed may have recovered by now, so all of them are tried again.
      await this.untilAvailable(Math.min(leftMs, RETRY_MS, opening?.inMs ?? Infinity), signal);
      p.triedEndpoints.clear();
    }
  }

  /** Picks the best endpoint other than `besides` that is usable now; undefined if there is none. */
  pickOther(
    a: callerRequest.CallerRequest,
    p: progress.Progress,
    besides: string,
  ): choice.Estimate | undefined {
    return this.candidates(a, p).find((e) => e.view.endpoint.id !== besides);
  }

  /** Resolves when an endpoint may have become usable, after `ms`, or when `signal` aborts. */
  private untilAvailable(ms: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.cancel();
        unsubscribe();
        signal.removeEventListener("abort", wake);
        resolve();
      };
      const timer = this.deps.clock.after(ms, wake);
      const unsubscribe = this.deps.endpoints.onAvailable(wake);
      signal.addEventListener("abort", wake, { once: true });
    });
  }

  private candidates(
    a: callerRequest.CallerRequest,
    p: progress.Progress,
    waitsAt?: string,
  ): readonly choice.Estimate[] {
    const { target } = a.meta;
    const { domain } = this;
    const accepts = this.deps.software.filter(a, p);
    if (!a.service.engine || !target) {
      const views = this.deps.endpoints.views(a.service, accepts);
      return choice.rankPlain(views, { domain, tried: p.triedEndpoints }, this.deps.random);
    }
    const need: choice.Need = {
      model: target.model,
      key: target.adapter && catalog.adapterKey(target.model, target.adapter),
      oldestVersion: this.deps.versions.oldestUsable(a),
      promptTokens: a.meta.promptTokens,
      rank: a.route.rank,
      team: a.caller?.team.name,
      domain,
      tried: p.triedEndpoints,
      targetMs: a.arrivedAt + a.route.targetMs - this.deps.clock.mono(),
      waitsAt,
    };
    return search.find(this.deps.endpoints.engineViews(a.service, accepts), need, a.meta.id);
  }

  /** Milliseconds for which a request may still wait for a seat. */
  seatWaitLeftMs(a: callerRequest.CallerRequest, p: progress.Progress): number {
    return p.queuedAt + admission.maxSeatWaitMs(timesOf(a, p, p.queuedAt)) - this.deps.clock.mono();
  }

  /** Requests a seat on an engine and waits for the answer, or until the request should move to another engine. */
  async acquireSeat(
    a: callerRequest.CallerRequest,
    best: choice.Estimate,
    p: progress.Progress,
    signal: AbortSignal,
  ): Promise<SeatResult> {
    const { endpoint } = best.view;
    const { target } = a.meta;
    if (!target) return { kind: "seatless", version: undefined };
    const key = target.adapter && catalog.adapterKey(target.model, target.adapter);
    const now = this.deps.clock.mono();
    const older = this.deps.versions.olderFor(a, best.serviceMs);
    const pending = this.deps.endpoints.link(endpoint).ask({
      request: a.meta.id,
      model: target.model,
      ...(target.adapter !== undefined && { adapter: target.adapter }),
      version: this.deps.versions.declaredFor(a)?.version ?? 0,
      ...(older && { older }),
      promptTokens: a.meta.promptTokens,
      answerTokens: a.meta.answerTokens,
      rank: a.route.rank,
      targetMs: Math.max(0, a.arrivedAt + a.route.targetMs - now),
      leftMs: Math.max(1, this.seatWaitLeftMs(a, p)),
      ...(a.caller && { team: a.caller.team.name }),
      ...(Number.isFinite(a.route.gapMs) && { gapMs: a.route.gapMs }),
      firm: p.divertedBy.has(endpoint.id) || p.divertedBy.size >= MAX_DIVERSIONS,
    });
    const withdraw = (): void => {
      pending.release("left");
    };
    signal.addEventListener("abort", withdraw, { once: true });
    const answer = await this.answerOrMove(a, p, best, pending);
    signal.removeEventListener("abort", withdraw);
    switch (answer.kind) {
      case "moved":
        return { kind: "elsewhere" };
      case "grant":
        if (!incarnation.mayBeSame(answer.instance, endpoint.id)) {
          pending.release("not_run");
          p.why = `another start of the worker runs at ${endpoint.id}`;
          p.triedEndpoints.add(endpoint.id);
          return { kind: "elsewhere" };
        }
        return {
          kind: "seat",
          seat: { ...pending, version: answer.version, instance: answer.instance },
        };
      case "deny":
        p.why = `the endpoint daemon denied a seat: ${answer.reason}`;
        if (answer.reason === "busy") {
          p.divertedBy.add(endpoint.id);
          return { kind: "diverted" };
        }
        p.triedEndpoints.add(endpoint.id);
        return { kind: "elsewhere" };
      case "unreachable":
        if (signal.aborted) return { kind: "elsewhere" };
        p.why = "the endpoint daemon is unreachable";
        if (best.view.inFlight >= this.maxSeatless(a)) {
          p.why =
            "the endpoint daemon is unreachable, and enough was sent to its engine without a seat";
          p.triedEndpoints.add(endpoint.id);
          return { kind: "elsewhere" };
        }
        // The engine may still have the adapter, and refuses a request for one that it does not have.
        if (
          choice.adapterState(best.view, key) === "resident" &&
          this.deps.software.isCertainStart(a, endpoint)
        )
          return { kind: "seatless", version: this.versionWithoutSeat(a, best.view, key) };
        p.triedEndpoints.add(endpoint.id);
        return { kind: "elsewhere" };
    }
  }

  /** Requests that this host may have in flight to an engine whose daemon is away. */
  private maxSeatless({ service }: callerRequest.CallerRequest): number {
    return seatless.maxInFlight(service.connections, this.deps.endpoints.mostHosts());
  }

  /**
   * The version that a request without a seat expects at an engine: the one that the engine has by its last holdings, or the
   * newest one if that is not known. The engine runs it on no other.
   */
  private versionWithoutSeat(
    a: callerRequest.CallerRequest,
    view: choice.View,
    key: string | undefined,
  ): number | undefined {
    return choice.heldVersion(view, key) ?? this.deps.versions.declaredFor(a)?.version;
  }

  /**
   * Waits for the answer to a seat request. Withdraws it when the worker stops accepting requests, or when another
   * engine could serve the request sooner.
   */
  private answerOrMove(
    a: callerRequest.CallerRequest,
    p: progress.Progress,
    best: choice.Estimate,
    pending: link.PendingSeat,
  ): Promise<link.Answer | { readonly kind: "moved" }> {
    return new Promise((resolve) => {
      const { id } = best.view.endpoint;
      let intervalMs = FIRST_COMPARE_MS * 2 ** p.queueMoves;
      const move = (): void => {
        timer.cancel();
        resolve({ kind: "moved" });
        pending.release("left");
      };
      const compare = (): void => {
        if (this.isSoonerElsewhere(a, p, id)) {
          p.queueMoves++;
          move();
          return;
        }
        intervalMs *= 2;
        timer = this.deps.clock.after(intervalMs, compare);
      };
      let timer = this.deps.clock.after(intervalMs, compare);
      const unsubscribe = this.deps.notices.whenClosed(id, move);
      void pending.answer.then((answer) => {
        timer.cancel();
        unsubscribe();
        resolve(answer);
      });
    });
  }

  /** Whether another engine than `id` would now serve a request much sooner. */
  private isSoonerElsewhere(
    a: callerRequest.CallerRequest,
    p: progress.Progress,
    id: string,
  ): boolean {
    const list = this.candidates(a, p, id);
    const best = list[0];
    const current = list.find((e) => e.view.endpoint.id === id);
    if (!best || best === current) return false;
    if (!current) return true;
    const gainMs = current.firstMs + current.penaltyMs - (best.firstMs + best.penaltyMs);
    return gainMs > MIN_GAIN_MS;
  }
}

/** What limits the waits of a request at the monotonic ms `now`. */
function timesOf(
  a: callerRequest.CallerRequest,
  p: progress.Progress,
  now: number,
): admission.RequestTimes {
  const { rank, targetMs, gapMs } = a.route;
  const leftMs = deadline.dueAt(a, p) - now;
  return { rank, targetMs, gapMs, leftMs, hasBegun: p.hasResponseBegun };
}
