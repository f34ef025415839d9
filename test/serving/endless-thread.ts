/**
 * Runs a worker whose answers never end in a thread of its own, so that its writing takes nothing from the loop that is tested.
 * @module
 */
import * as workerThreads from "node:worker_threads";
import * as endless from "./endless.js";

/** Starts such a worker. */
export async function start(answer: endless.Answer) {
  const thread = new workerThreads.Worker(new URL(import.meta.url), { workerData: answer });
  const address = await new Promise<string>((resolve) => thread.once("message", resolve));
  return { address, close: async (): Promise<unknown> => thread.terminate() };
}

if (!workerThreads.isMainThread && workerThreads.parentPort) {
  const { address } = await endless.worker(workerThreads.workerData as endless.Answer);
  workerThreads.parentPort.postMessage(address);
}
