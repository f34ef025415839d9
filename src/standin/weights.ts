/**
 * A stand-in for the weight store: one load at a time runs at full speed, several share it.
 * @module
 */
import * as server from "./server.js";

/** How the weight store misbehaves. */
export interface Faults {
  /** Loads are refused. */
  refuse: boolean;
  /** Factor on the time of a load. */
  slow: number;
}

const TICK_MS = 5;

export class Weights {
  readonly faults: Faults = { refuse: false, slow: 1 };
  loads = 0;
  /** Most loads that were under way together. */
  most = 0;
  private readonly active = new Set<{ left: number; done: () => void }>();
  private ticker: NodeJS.Timeout | undefined;
  private last = 0;

  /** @param loadMs - milliseconds of one load that runs alone */
  constructor(private readonly loadMs: number) {}

  readonly handle: server.Handle = async (_req, res) => {
    if (this.faults.refuse) {
      server.json(res, 503, { error: "refused" });
      return;
    }
    await new Promise<void>((done) => {
      this.active.add({ left: this.loadMs * this.faults.slow, done });
      this.most = Math.max(this.most, this.active.size);
      if (!this.ticker) {
        this.last = performance.now();
        this.ticker = setInterval(() => {
          this.tick();
        }, TICK_MS);
      }
    });
    this.loads++;
    server.json(res, 200, { weights: "" });
  };

  private tick(): void {
    const now = performance.now();
    const share = (now - this.last) / Math.max(1, this.active.size);
    this.last = now;
    for (const l of this.active) {
      l.left -= share;
      if (l.left > 0) continue;
      this.active.delete(l);
      l.done();
    }
    if (this.active.size > 0) return;
    clearInterval(this.ticker);
    this.ticker = undefined;
  }
}

/** Starts a weight store on `port`, or on a free one. */
export async function start(
  loadMs: number,
  port = 0,
): Promise<server.Running & { readonly weights: Weights }> {
  const weights = new Weights(loadMs);
  return { ...(await server.serve(weights.handle, port)), weights };
}
