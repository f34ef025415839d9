/**
 * Base class of the stand-in workers: how they behave, what they announce in their answers, and what they record.
 * @module
 */
import * as timers from "node:timers/promises";
import type * as http from "node:http";
import type * as journals from "./journal.js";
import * as servers from "./http.js";
import * as strays from "./stray.js";

/** How a worker behaves; every value but `well` is a fault. */
export type Behavior =
  | "well"
  /** Rejects most of its requests with a 503 before it runs them. */
  | "shedding"
  /** Answers some of its requests with a 500. */
  | "failing"
  /** Accepts some of its requests and never answers them. */
  | "hanging"
  /** Takes ten times as long. */
  | "slow"
  /** Breaks off some of its answers in the middle. */
  | "breaking"
  /** Sends a second response after some of its responses. */
  | "doubling"
  /** Runs some of its requests and closes the connection without an answer. */
  | "losing"
  /** Leaves some orders unanswered and carries them out later. */
  | "late";

/** Share of its requests or orders that a faulty worker treats wrongly, unless set otherwise. */
const FAULTY_SHARE = 0.4;
/** Share of its requests that a worker rejects while it sheds load, unless set otherwise. */
const DEFAULT_SHED_SHARE = 0.9;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const MS_PER_S = 1000;
/** A request whose body contains this text crashes its worker. */
export const CRASH_MARKER = "ends its worker";
const PROMPT_PARTS_HEADER = "x-sumacfield-prompt-prefix";
/** Milliseconds from the start of such a request to the crash. */
const CRASH_DELAY_MS = 10;

/** A header's value as a string; empty when it is missing. */
export const firstValue = (v: string | readonly string[] | undefined): string => String(v ?? "");

function teamOf(req: http.IncomingMessage): string | undefined {
  const team = req.headers["x-sumacfield-tenant"];
  return team === undefined ? undefined : firstValue(team);
}

/** A stand-in worker. */
export abstract class Base {
  behavior: Behavior = "well";
  /** Limit that it announces, in requests a second; undefined for none. */
  limitPerS: number | undefined;
  /** Whether its answers announce that it leaves. */
  leaving = false;
  /** Pause in seconds that it asks for when it sheds a request; undefined for none. */
  pauseS: number | undefined;
  /** Share of its requests or orders that it treats wrongly while it has a fault. */
  faultyShare = FAULTY_SHARE;
  /** How the end of its answers is marked: as Node.js does by default, or by the end of the connection alone. */
  framing: "default" | "close" = "default";
  /** Share of its requests that it rejects while it sheds load. */
  shedPart = DEFAULT_SHED_SHARE;
  /** Instance id that it reports; a worker that restarts may keep the id that it had before. */
  name: string;
  /** Version of its software, which it registers and names in each event; undefined when it names none. */
  software: string | undefined;
  /** Start time in Unix ms, which it reports; undefined when it does not report one. */
  born: number | undefined;
  /** Called after a request has crashed the worker. */
  onCrash: () => void = () => undefined;
  /** Ids of parts that crash the worker when it begins to answer a prompt that holds one of them, unless as its last part. */
  fatalParts: ReadonlySet<string> = new Set();
  private hasCrashed = false;
  /** Bytes that it sends although they prove nothing about a request. */
  readonly stray = new strays.StrayBytes();
  protected readonly listener = new servers.Listener((req, res) => {
    this.stray.sendCopy(req.socket);
    return this.answer(req, res);
  });

  constructor(
    readonly service: string,
    public instance: string,
    protected readonly journal: journals.Journal,
  ) {
    this.name = instance;
  }

  get address(): string {
    return this.listener.address;
  }

  async start(host?: string, port?: number): Promise<void> {
    await this.listener.start(host, port);
  }

  /** Stops at once and closes all connections, as in a crash. */
  stop(): void {
    this.listener.stop();
  }

  protected abstract answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void>;

  protected isFaultyTurn(): boolean {
    return Math.random() < this.faultyShare;
  }

  protected reject(res: http.ServerResponse, status: number, id: string): void {
    const vouch = status === 421 ? {} : { "x-sumacfield-not-executed": "1" };
    const said = { "x-sumacfield-attempt-id": id, ...this.notices() };
    res.writeHead(status, { ...said, "content-length": 0, ...vouch });
    res.end();
  }

  /** Rejects a request that is meant for another worker, or whose adapter it does not hold. */
  protected rejectMisdirected(res: http.ServerResponse, arrival: journals.Arrival): void {
    arrival.isMisdirected = true;
    this.reject(res, MISDIRECTED, arrival.id);
  }

  /** Records the arrival of a request, and decides whether it is shed. */
  protected recordArrival(id: string): journals.Arrival {
    const { service, instance, limitPerS, leaving, pauseS } = this;
    const sheds =
      (this.behavior === "shedding" && Math.random() < this.shedPart) ||
      this.stray.isTurn("repeated");
    const arrival: journals.Arrival = {
      id,
      service,
      instance,
      limitPerS,
      leaving,
      pauseMs: sheds && pauseS !== undefined ? pauseS * MS_PER_S : undefined,
      sheds,
      isMisdirected: false,
      at: performance.now(),
    };
    this.journal.arrivals.push(arrival);
    return arrival;
  }

  /** Rejects a request with a 503, asking for a pause if {@link pauseS} is set. */
  protected shed(res: http.ServerResponse, arrival: journals.Arrival): void {
    const { id } = arrival;
    if (this.stray.isUnread(res)) arrival.pauseMs = undefined;
    else if (this.pauseS !== undefined) res.setHeader("retry-after", String(this.pauseS));
    this.stray.keepCopy(res, id);
    this.reject(res, UNAVAILABLE, id);
  }

  /** Records a run, which ends when the response's connection closes. */
  protected recordRun(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    adapter: string,
    version: number,
  ): journals.Run {
    const run: journals.Run = {
      id: firstValue(req.headers["x-sumacfield-attempt-id"]),
      service: this.service,
      instance: this.instance,
      adapter,
      version,
      software: this.software,
      leftMs: Number(firstValue(req.headers["x-sumacfield-deadline-ms"])),
      team: teamOf(req),
      sawKey: req.headers.authorization !== undefined,
      at: performance.now(),
      endedAt: undefined,
    };
    this.journal.runs.push(run);
    if (this.stray.isTurn("unnamed")) this.stray.sendUnnamed(req);
    res.once("close", () => {
      run.endedAt = performance.now();
    });
    return run;
  }

  /** Answers a request that ran with a status that promises that it did not, without stating it. */
  protected answerUnmarked(res: http.ServerResponse, id: string): void {
    const headers = { ...this.signatureHeaders(id), "content-length": 0 };
    res.writeHead(this.stray.unmarkedStatus(), headers).end();
  }

  protected signatureHeaders(id: string): Record<string, string> {
    const signature = { "x-sumacfield-server-signature": this.instance };
    return { "x-sumacfield-attempt-id": id, ...signature, ...this.notices() };
  }

  /** Headers of each answer that announce its limit and that it leaves. */
  private notices(): Record<string, string> {
    const { limitPerS, leaving } = this;
    return {
      ...(limitPerS !== undefined && { "server-limit": String(limitPerS) }),
      ...(leaving && { "server-leaving": "1" }),
    };
  }

  /** The first fatal part of a request's prompt, not counting the last part; undefined if it has none. */
  private fatalPartOf(req: http.IncomingMessage): string | undefined {
    const parts = firstValue(req.headers[PROMPT_PARTS_HEADER]).split(",");
    const ids = parts.slice(0, -1).map((part) => part.split(":")[0] ?? "");
    return ids.find((id) => this.fatalParts.has(id));
  }

  /**
   * Crashes the worker if the body contains {@link CRASH_MARKER} or the prompt holds one of the {@link fatalParts}. Returns
   * whether it crashed.
   */
  protected async crashIfFatal(
    run: journals.Run,
    req: http.IncomingMessage,
    body: string,
    res: http.ServerResponse,
  ): Promise<boolean> {
    const part = this.fatalPartOf(req);
    if (part === undefined && !body.includes(CRASH_MARKER)) return false;
    if (this.framing === "close") this.beginAnswer(res, run);
    await timers.setTimeout(CRASH_DELAY_MS);
    if (this.hasCrashed) return true;
    this.hasCrashed = true;
    const at = performance.now();
    this.journal.crashes.push({ id: run.id, body, part, instance: this.instance, at });
    this.stop();
    this.onCrash();
    return true;
  }

  /** Sends the beginning of an answer that the crash of its worker will break off. */
  protected beginAnswer(res: http.ServerResponse, run: journals.Run): void {
    this.writeHead(res, 200, this.signatureHeaders(run.id));
    res.write("x");
  }

  /** Sends the head of an answer whose length is not known, in the framing of this worker. */
  protected writeHead(
    res: http.ServerResponse,
    status: number,
    headers: http.OutgoingHttpHeaders,
  ): void {
    if (this.framing === "close") {
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
    }
    res.writeHead(status, headers);
  }

  /** Sends a second response, which belongs to no request, after this one. */
  protected sendExtraResponse(res: http.ServerResponse): void {
    const { socket } = res;
    res.once("finish", () => {
      const extra = "HTTP/1.1 200 OK\r\nx-sumacfield-attempt-id: other\r\n";
      socket?.write(`${extra}x-sumacfield-server-signature: x\r\ncontent-length: 1\r\n\r\nx`);
    });
  }
}
