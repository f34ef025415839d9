/**
 * What the stand-ins for the platform's workers share: their moods, what they say of themselves, and what they write down.
 * @module
 */
import * as timers from "node:timers/promises";
import type * as http from "node:http";
import type * as journals from "./journal.js";
import * as servers from "./http.js";

/** How a worker behaves. */
export type Mood =
  | "well"
  /** Turns most of its requests away before it runs them. */
  | "shedding"
  /** Answers a part of its requests with its own failure. */
  | "failing"
  /** Takes requests and answers nothing. */
  | "hanging"
  /** Ten times as slow. */
  | "slow"
  /** Breaks a part of its answers off in the middle. */
  | "breaking"
  /** Sends a second answer after a part of its answers. */
  | "doubling"
  /** Runs a part of its requests, and their answers are lost. */
  | "losing"
  /** Leaves orders unanswered and carries them out later. */
  | "late";

/** Part of its requests or orders that a worker in a bad mood treats badly. */
const BAD_PART = 0.4;
/** Part of its requests that a worker turns away that sheds load. */
const SHED_PART = 0.9;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const MS_PER_S = 1000;
/** A body that holds this text ends its worker some ms after it is begun. */
export const FATAL = "ends its worker";
/** Milliseconds from the begin of such a request to the worker's end. */
const FATAL_MS = 10;

/** The first value of a header. */
export const one = (v: string | readonly string[] | undefined): string => String(v ?? "");

function teamOf(req: http.IncomingMessage): string | undefined {
  const team = req.headers["x-sumacfield-tenant"];
  return team === undefined ? undefined : one(team);
}

export abstract class Base {
  mood: Mood = "well";
  /** Requests a second that it names as its limit. */
  limitPerS: number | undefined;
  /** Says in its answers that it leaves. */
  leaving = false;
  /** Seconds for which it asks for a pause when it sheds a request; undefined for none. */
  pauseS: number | undefined;
  /** Part of its requests that it turns away while it sheds load. */
  shedPart = SHED_PART;
  /** What it calls itself; a new start may have the name of the one before. */
  name: string;
  /** Unix ms of its start, where it tells it. */
  born: number | undefined;
  /** Called once a request has ended it. */
  ended: () => void = () => undefined;
  private isOver = false;
  protected readonly listener = new servers.Listener((req, res) => this.answer(req, res));

  constructor(
    readonly service: string,
    public instance: string,
    protected readonly kept: journals.Journal,
  ) {
    this.name = instance;
  }

  get address(): string {
    return this.listener.address;
  }

  async start(host?: string, port?: number): Promise<void> {
    await this.listener.start(host, port);
  }

  /** Ends at once, as in a crash. */
  stop(): void {
    this.listener.stop();
  }

  protected abstract answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void>;

  protected bad(): boolean {
    return Math.random() < BAD_PART;
  }

  protected reject(res: http.ServerResponse, status: number, id: string): void {
    const vouch = status === 421 ? {} : { "x-sumacfield-not-executed": "1" };
    const said = { "x-sumacfield-attempt-id": id, ...this.notices() };
    res.writeHead(status, { ...said, "content-length": 0, ...vouch });
    res.end();
  }

  /** Turns a request away that it is not meant for, or whose adapter it does not hold. */
  protected misdirected(res: http.ServerResponse, arrival: journals.Arrival): void {
    arrival.isMisdirected = true;
    this.reject(res, MISDIRECTED, arrival.id);
  }

  /** Writes down that a request arrived. */
  protected arrived(id: string): journals.Arrival {
    const { service, instance, limitPerS, leaving, pauseS } = this;
    const sheds = this.mood === "shedding" && Math.random() < this.shedPart;
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
    this.kept.arrivals.push(arrival);
    return arrival;
  }

  /** Turns a request away, and asks for a pause where it does. */
  protected shed(res: http.ServerResponse, { id }: journals.Arrival): void {
    if (this.pauseS !== undefined) res.setHeader("retry-after", String(this.pauseS));
    this.reject(res, UNAVAILABLE, id);
  }

  /** Writes a run down; it ends with its connection. */
  protected begin(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    adapter: string,
    version: number,
  ): journals.Run {
    const run: journals.Run = {
      id: one(req.headers["x-sumacfield-attempt-id"]),
      service: this.service,
      instance: this.instance,
      adapter,
      version,
      leftMs: Number(one(req.headers["x-sumacfield-deadline-ms"])),
      team: teamOf(req),
      sawKey: req.headers.authorization !== undefined,
      at: performance.now(),
      endedAt: undefined,
    };
    this.kept.runs.push(run);
    res.once("close", () => {
      run.endedAt = performance.now();
    });
    return run;
  }

  protected signed(id: string): Record<string, string> {
    const signature = { "x-sumacfield-server-signature": this.instance };
    return { "x-sumacfield-attempt-id": id, ...signature, ...this.notices() };
  }

  /** What it says of itself in each answer. */
  private notices(): Record<string, string> {
    const { limitPerS, leaving } = this;
    return {
      ...(limitPerS !== undefined && { "server-limit": String(limitPerS) }),
      ...(leaving && { "server-leaving": "1" }),
    };
  }

  /** Ends the worker where the request that it begins to run is such a one; whether it did. */
  protected async endsUnder(run: journals.Run, body: string): Promise<boolean> {
    if (!body.includes(FATAL)) return false;
    await timers.setTimeout(FATAL_MS);
    if (this.isOver) return true;
    this.isOver = true;
    this.kept.crashes.push({ id: run.id, body, instance: this.instance, at: performance.now() });
    this.stop();
    this.ended();
    return true;
  }

  /** Sends a second answer that belongs to no request. */
  protected double(res: http.ServerResponse): void {
    const { socket } = res;
    res.once("finish", () => {
      const extra = "HTTP/1.1 200 OK\r\nx-sumacfield-attempt-id: other\r\n";
      socket?.write(`${extra}x-sumacfield-server-signature: x\r\ncontent-length: 1\r\n\r\nx`);
    });
  }
}
