/**
 * The interfaces of the decision code, faked on the measuring clock: an engine that batches by steps,
 * and a weight store that shares its speed.
 * @module
 */
import * as stream from "node:stream";
import type * as engine from "../../src/endpoint/engine.js";
import * as outcome from "../../src/request/outcome.js";
import type * as time from "./time.js";
import type * as workload from "./workload.js";

/** A weight store: one load at a time runs at full speed, several share it. */
export class Weights {
  /** Factor on the time of a load. */
  slow = 1;
  failing = false;
  private readonly active = new Set<{ left: number; done: () => void }>();
  private last = 0;
  private generation = 0;

  constructor(
    private readonly clk: time.Time,
    private readonly loadMs: number,
  ) {}

  async load(): Promise<void> {
    if (this.failing) {
      await this.clk.wait(this.loadMs / 10);
      throw new outcome.StepError({
        code: "load_failed",
        outcome: "failed",
        step: "engine",
        peer: "weights",
        message: "the weight store fails",
      });
    }
    this.progress();
    await new Promise<void>((done) => {
      this.active.add({ left: this.loadMs * this.slow, done });
      this.schedule();
    });
  }

  private progress(): void {
    const share = (this.clk.mono() - this.last) / Math.max(1, this.active.size);
    this.last = this.clk.mono();
    for (const l of this.active) l.left -= share;
  }

  private schedule(): void {
    this.generation++;
    const mine = this.generation;
    const least = Math.min(...[...this.active].map((l) => l.left));
    if (least === Infinity) return;
    this.clk.after(least * this.active.size, () => {
      if (mine !== this.generation) return;
      this.progress();
      for (const l of this.active) {
        if (l.left > 1e-6) continue;
        this.active.delete(l);
        l.done();
      }
      this.schedule();
    });
  }
}

interface Sequence {
  left: number;
  readonly first: () => void;
  readonly done: () => void;
  begun: boolean;
}

/** An engine: every running sequence gets one token a step, and a step takes longer in a full batch. */
export class Engine implements engine.Engine {
  /** Token-steps done, and seat-steps offered while it ran; their ratio is the batch fill. */
  tokens = 0;
  seatSteps = 0;
  loads = 0;
  private startedAt = 1;
  private names = new Set<string>();
  private readonly running = new Set<Sequence>();
  private last = 0;
  private generation = 0;

  constructor(
    private readonly clk: time.Time,
    private readonly d: workload.Deployment,
    private readonly weights: Weights,
  ) {}

  readonly health = () =>
    Promise.resolve({ startedAt: this.startedAt, running: this.running.size, waiting: 0 });
  readonly models = () => Promise.resolve([...this.names]);
  readonly load = async (name: string): Promise<void> => {
    await this.weights.load();
    this.loads++;
    this.names.add(name);
  };
  readonly unload = (name: string): Promise<void> => {
    this.names.delete(name);
    return Promise.resolve();
  };
  /** Not used: the measuring tool runs sequences by {@link generate}. */
  readonly run = (): Promise<engine.Answer> =>
    Promise.resolve({ status: 200, contentType: "", body: stream.Readable.from([]) });

  /** Loses everything, as after a cold start. */
  restart(): void {
    this.startedAt++;
    this.names = new Set();
  }

  /** Runs a sequence of `tokens`; resolves at its end, and calls `first` at its first token. */
  generate(tokens: number, first: () => void): Promise<void> {
    this.progress();
    return new Promise((done) => {
      this.running.add({ left: tokens, first, done, begun: false });
      this.schedule();
    });
  }

  private get stepMs(): number {
    return this.d.stepMs + this.d.stepPerSeatMs * this.running.size;
  }

  private progress(): void {
    const steps = (this.clk.mono() - this.last) / this.stepMs;
    this.last = this.clk.mono();
    if (this.running.size === 0) return;
    this.tokens += steps * this.running.size;
    this.seatSteps += steps * this.d.seats;
    for (const s of this.running) {
      s.left -= steps;
      if (s.begun) continue;
      s.begun = true;
      s.first();
    }
  }

  private schedule(): void {
    this.generation++;
    const mine = this.generation;
    if (this.running.size === 0) return;
    const least = Math.min(...[...this.running].map((s) => (s.begun ? s.left : 1)));
    this.clk.after(Math.max(0, least) * this.stepMs, () => {
      if (mine !== this.generation) return;
      this.progress();
      for (const s of this.running) {
        if (s.left > 1e-6) continue;
        this.running.delete(s);
        s.done();
      }
      this.schedule();
    });
  }
}
