/**
 * An endpoint daemon that tells what a test gives it, and answers no question.
 * @module
 */
import * as net from "node:net";
import * as addresses from "../../src/host/address.js";
import type * as seat from "../../src/serving/seat.js";
import * as fixtures from "./fixtures.js";

/** Milliseconds for which it may say nothing without being taken for lost. */
const SILENCE_MS = 10_000;

/** The state of an idle engine. */
export function state(instance: string): seat.State {
  return { ...fixtures.STATE, instance, silenceMs: SILENCE_MS };
}

/** The holdings of an engine with the model `m` and some adapters, by key. */
export function holdings(...resident: readonly string[]): seat.Holdings {
  return { kind: "holdings", models: ["m"], resident, gone: [], reach: 0 };
}

/** Opens one; each new connection is told `first`. */
export async function open(...first: readonly seat.FromEndpoint[]) {
  let greeting = first;
  const heard: string[] = [];
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on("data", (part: Buffer) => {
      const messages = part.toString().trim().split("\n");
      heard.push(...messages.map((m) => (JSON.parse(m) as seat.FromEntry).kind));
    });
    socket.on("error", () => socket.destroy());
    socket.write(text(greeting));
  });
  const address = await addresses.listen(server, "127.0.0.1:0");
  return {
    address,
    /** Kinds of the messages that it got, in their order. */
    heard,
    tell: (...messages: readonly seat.FromEndpoint[]): void => {
      for (const s of sockets) s.write(text(messages));
    },
    /** Ends all connections, as a restart does; each new one is told `again`. */
    restart: (...again: readonly seat.FromEndpoint[]): void => {
      greeting = again;
      for (const s of sockets) s.destroy();
      sockets.clear();
    },
    close: (): void => {
      server.close();
      for (const s of sockets) s.destroy();
    },
  };
}

function text(messages: readonly seat.FromEndpoint[]): string {
  return messages.map((m) => `${JSON.stringify(m)}\n`).join("");
}
