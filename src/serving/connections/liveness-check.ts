/**
 * Asks a worker, on a new connection, whether it still runs. The kernel closes the connections of a process that ends one after
 * the other, and accepts new ones until it closes the listening socket, so that neither an open connection nor a new one shows
 * that the process goes on. An answer to a request that was sent after another connection had been closed does.
 * @module
 */
import * as undici from "undici";
import * as clock from "../../host/clock.js";
import * as connector from "../../host/connector.js";
import type * as headers from "../headers.js";

/** The question, and how its answer is read. */
export interface Question {
  /** `ip:port` of the worker. */
  readonly address: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Whether an answer comes from the worker that is asked, and not from another one at its address. */
  readonly isAnswered: (status: number, headers: headers.Headers) => boolean;
}

/** Milliseconds within which the worker must answer. The question may wait for a slot, as requests do. */
const TIMEOUT_MS = 1000;
/** Milliseconds until the worker is asked again after it closed the connection, as one at its limit of connections does. */
const RETRY_MS = 100;
/** Most bytes of an answer. */
const MAX_ANSWER_BYTES = 1_048_576;
const REFUSED_CODE = "ECONNREFUSED";

type Result = "running" | "unknown" | "closed" | "ended";

/** Resolves to whether the worker answers; false as well if that is not known in time, or once `signal` aborts. */
export async function isRunning(
  q: Question,
  signal: AbortSignal,
  clk: clock.Clock,
): Promise<boolean> {
  const stop = new AbortController();
  const giveUp = (): void => {
    stop.abort();
  };
  const timer = clk.after(TIMEOUT_MS, giveUp);
  signal.addEventListener("abort", giveUp, { once: true });
  if (signal.aborted) giveUp();
  try {
    for (;;) {
      const result = await ask(q, stop.signal);
      if (result !== "closed" || stop.signal.aborted) return result === "running";
      await clock.sleep(clk, RETRY_MS, stop.signal);
    }
  } finally {
    timer.cancel();
    signal.removeEventListener("abort", giveUp);
  }
}

async function ask(q: Question, signal: AbortSignal): Promise<Result> {
  const client = new undici.Client(`http://${q.address}`, {
    connect: connector.bounded({ timeout: TIMEOUT_MS, autoSelectFamily: false }, MAX_ANSWER_BYTES),
  });
  try {
    const res = await client.request({ method: "GET", path: q.path, headers: q.headers, signal });
    // Only the head is needed, and the connection is closed with the rest.
    res.body.on("error", () => undefined);
    return q.isAnswered(res.statusCode, res.headers) ? "running" : "unknown";
  } catch (err) {
    return err instanceof Error && "code" in err && err.code === REFUSED_CODE ? "ended" : "closed";
  } finally {
    void client.destroy();
  }
}
