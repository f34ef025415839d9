/**
 * A stand-in for the weight store: a single load runs at full speed, concurrent loads share that speed.
 * @module
 */
import * as server from "./server.js";

/** Failures to inject into the weight store. */
export interface Faults {
  /** Whether loads are refused. */
  refuseLoads: boolean;
  /** Factor by which the time of a load is multiplied. */
  slowdownFactor: number;
}

/** Milliseconds between two updates of the progress of loads. */
const TICK_MS = 5;

/** A weight store that answers each load after its time. */
export class Weights {
  readonly faults: Faults = { refuseLoads: false, slowdownFactor: 1 };
  /** Loads finished so far. */
  completedLoads = 0;
  /** The highest number of loads in progress at the same time. */
  maxConcurrentLoads = 0;
  private readonly active = new Set<{ remainingMs: number; done: () => void }>();
  private ticker: NodeJS.Timeout | undefined;
  private lastTickAt = 0;

  /** @param loadMs - milliseconds that a load takes when it runs alone */
  constructor(private readonly loadMs: number) {}

  readonly handle: server.RequestHandler = async (_req, res) => {
    if (this.faults.refuseLoads) {
      server.sendJson(res, 503, { error: "refused" });
      return;
    }
    await new Promise<void>((done) => {
      this.active.add({ remainingMs: this.loadMs * this.faults.slowdownFactor, done });
      this.maxConcurrentLoads = Math.max(this.maxConcurrentLoads, this.active.size);
      if (!this.ticker) {
        this.lastTickAt = performance.now();
        this.ticker = setInterval(() => {
          this.advanceLoads();
        }, TICK_MS);
      }
    });
    this.completedLoads++;
    server.sendJson(res, 200, { weights: "" });
  };

  private advanceLoads(): void {
    const now = performance.now();
    const progressMs = (now - this.lastTickAt) / Math.max(1, this.active.size);
    this.lastTickAt = now;
    for (const l of this.active) {
      l.remainingMs -= progressMs;
      if (l.remainingMs > 0) continue;
      this.active.delete(l);
      l.done();
    }
    if (this.active.size > 0) return;
    clearInterval(this.ticker);
    this.ticker = undefined;
  }
}

/** Starts a weight store on `port`, or on a free port if it is 0. */
export async function start(
  loadMs: number,
  port = 0,
): Promise<server.RunningServer & { readonly weights: Weights }> {
  const weights = new Weights(loadMs);
  return { ...(await server.serve(weights.handle, port)), weights };
}
