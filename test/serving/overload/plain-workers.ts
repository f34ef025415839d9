/**
 * Calls to a plain service in virtual time: the dispatcher over fake workers that answer as a test says.
 * @module
 */
import * as timers from "node:timers/promises";
import * as clock from "../../../src/host/clock.js";
import type * as structuredLog from "../../../src/host/structured-log.js";
import type * as callerRequest from "../../../src/serving/caller-request.js";
import * as catalog from "../../../src/serving/catalog.js";
import * as metrics from "../../../src/serving/metrics.js";
import * as notices from "../../../src/serving/notices.js";
import type * as progress from "../../../src/serving/progress.js";
import type * as retryBudget from "../../../src/serving/retry-budget.js";
import type * as suspects from "../../../src/serving/suspects.js";
import type * as upstream from "../../../src/serving/upstream.js";
import * as dispatcherFixture from "../dispatcher-fixture.js";
import * as fixtures from "../fixtures.js";
import * as retrySimulation from "../retry-simulation.js";

/** How a worker treats one send; all times in ms. */
export interface Treatment {
  readonly connectMs?: number;
  /** Time from the request to the answer. */
  readonly ms: number;
  /** 200 if not given; a send with status 0 breaks off, and one with 421 is not run. */
  readonly status?: number;
}

/** One send that was written to a worker. */
export interface Arrival {
  readonly worker: string;
  readonly request: string;
  readonly at: number;
  readonly status: number;
  end?: "answered" | "aborted";
  endAt?: number;
}

export const CALL: catalog.Route = {
  ...fixtures.ROUTE,
  kind: "idempotent",
  targetMs: 150,
  timeoutMs: 800,
};
export const ENGINES: catalog.Service = {
  ...fixtures.SERVICE,
  name: "engines",
  endpoints: { matchLabels: { "sumacfield/service": "engines" } },
  engine: {
    slots: 1,
    loadsPerS: 1,
    batch: { requests: 4, cacheTokens: 10_000, eventTokens: 7 },
    models: [],
  },
};

/** A configuration whose engines' streams are steady if `gapMs` is less than 350. */
function configOf(gapMs: number): catalog.Config {
  const shares = [{ service: ENGINES.name, weight: 1 }];
  return {
    ...fixtures.CONFIG,
    routes: [CALL, { ...CALL, name: "streams", kind: "stream", gapMs, shares }],
    services: new Map([fixtures.SERVICE, ENGINES].map((s) => [s.name, s])),
  };
}

export interface Options {
  readonly isDemanding?: boolean;
  readonly workers?: number;
  readonly budget?: retryBudget.Options;
  readonly random?: () => number;
  readonly treat: (worker: string, request: string, now: number) => Treatment;
}

/** A dispatcher with its workers, at a time that the test moves on. */
export class Rig {
  now = 0;
  readonly arrivals: Arrival[] = [];
  /** Workers whose connections were replaced. */
  readonly replaced: string[] = [];
  readonly lines: (structuredLog.Fields & { readonly msg: string })[] = [];
  readonly metrics = metrics.create();
  readonly catalog: catalog.Catalog;
  readonly setup: ReturnType<typeof dispatcherFixture.create>;
  private readonly timers = new retrySimulation.ProcessClock(() => this.now);
  private readonly clk: clock.Clock = {
    now: () => new Date(this.now),
    mono: this.timers.mono,
    steady: this.timers.steady,
    after: this.timers.after,
  };

  constructor(private readonly opts: Options) {
    const names = Array.from({ length: opts.workers ?? 2 }, (_, i) => `w${i}`);
    const list = names.map((w) => ({ ...fixtures.endpoint(w, w), seats: 6 }));
    this.catalog = {
      ...catalog.EMPTY,
      config: configOf(opts.isDemanding === false ? 400 : 300),
      endpoints: new Map(list.map((e) => [e.id, e])),
    };
    const write = (msg: string, fields: structuredLog.Fields = {}): void => {
      this.lines.push({ ...fields, msg });
    };
    const pools = {
      send: this.send.bind(this),
      replaceConnections: (id: string) => this.replaced.push(id),
    } as unknown as upstream.Upstream;
    // Nothing crashes here; the real ones would connect to the workers.
    const unsuspecting = {
      evaluate: () => ({ kind: "free" }),
      recordBrokenSend: () => Promise.resolve(),
      recordCompletion: () => undefined,
    } as unknown as suspects.Suspects;
    this.setup = dispatcherFixture.create(
      this.catalog,
      undefined,
      this.clk,
      undefined,
      undefined,
      opts.budget,
      {
        upstream: pools,
        suspects: unsuspecting,
        metrics: this.metrics,
        log: { info: write, warn: write, error: write },
        ...(opts.random && { random: opts.random }),
      },
    );
  }

  /** Lets time pass. */
  async pass(ms: number): Promise<void> {
    const until = this.now + ms;
    for (;;) {
      // All that follows from the timers that fired happens before time moves on.
      await timers.setImmediate();
      if (this.now >= until) return;
      this.now++;
      this.timers.run();
    }
  }

  /** Serves one call; what its caller sees is added to the result as it happens. */
  call(
    id: string,
    over: Partial<callerRequest.CallerRequest> = {},
    caller: Pick<progress.CallerResponse, "presence" | "readAnswer"> & { gone?: AbortSignal } = {},
  ): { readonly seen: string[]; endedAt: number } {
    const result = { seen: [] as string[], endedAt: Infinity };
    const { response } = dispatcherFixture.recorded();
    const meta = { id, waitMs: 800, promptTokens: 0, answerTokens: 0, parts: [] };
    const times = { arrivedAt: this.now, dueAt: this.now + 800 };
    const req = fixtures.request({ meta, route: CALL, ...times, ...over });
    void this.setup.dispatcher
      .serve(req, {
        ...response,
        disconnected: caller.gone ?? response.disconnected,
        ...caller,
        sendWhole: (status, received, body) =>
          result.seen.push(`${status} ${String(received["test-signed"])} ${body.toString()}`),
        refuse: (status) => result.seen.push(`refuse ${status}`),
      })
      .then(() => {
        result.endedAt = this.now;
      });
    return result;
  }

  /** The last line of the request "x". */
  get lastLine(): structuredLog.Fields | undefined {
    return this.lines.find((l) => l.msg === "A request has ended." && l.request === "x");
  }

  /** Sends calls one after the other, so that the response times of the service are known. */
  async warmUp(): Promise<void> {
    for (let i = 0; i < 12; i++) {
      this.call(`warm${i}`);
      await this.pass(100);
    }
    this.arrivals.length = 0;
    this.lines.length = 0;
  }

  private async send(
    req: callerRequest.CallerRequest,
    e: catalog.Endpoint,
    _attributes: unknown,
    signal: AbortSignal,
    gate: { readonly mayStart: () => boolean },
  ): Promise<upstream.SendResult> {
    const { connectMs = 0, ms, status = 200 } = this.opts.treat(e.id, req.meta.id, this.now);
    if (connectMs > 0) await clock.sleep(this.clk, connectMs, signal);
    const isAborted = (): boolean => signal.aborted;
    if (isAborted()) return { kind: "unsent", why: "given up" };
    if (!gate.mayStart()) return { kind: "withheld" };
    const arrival: Arrival = { worker: e.id, request: req.meta.id, at: this.now, status };
    this.arrivals.push(arrival);
    await clock.sleep(this.clk, ms, signal);
    arrival.endAt = this.now;
    arrival.end = isAborted() ? "aborted" : "answered";
    if (isAborted() || status === 0) return { kind: "unknown", why: "broken" };
    const statement = {
      status,
      subject: "request",
      claimsNotRun: status === 421,
      isSigned: true,
      isJoined: false,
    } as const;
    const said = { notice: notices.EMPTY, statement };
    if (status === 421) return { kind: "not_run", why: "status 421", isAbsent: false, ...said };
    const body = {
      pump: (onChunk: (chunk: Buffer) => unknown) => {
        onChunk(Buffer.from(req.route.kind === "stream" ? `data: ${e.id}\n\n` : e.id));
        return Promise.resolve();
      },
      abort: () => undefined,
    };
    const headers = { "test-signed": e.id };
    return { kind: "answer", status, headers, framing: "length", body, ...said };
  }
}
