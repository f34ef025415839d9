/**
 * A fake endpoint daemon that sends the messages that a test gives it, and answers none.
 * @module
 */
import * as net from "node:net";
import * as addresses from "../../src/host/address.js";
import type * as seatMessages from "../../src/serving/seat-messages.js";
import * as fixtures from "./fixtures.js";

/** The `silenceMs` that it announces, long enough that no link counts it as lost during a test. */
const SILENCE_MS = 10_000;

/** The state of an idle engine. */
export function state(instance: string): seatMessages.State {
  return { ...fixtures.STATE, instance, silenceMs: SILENCE_MS };
}

/** The holdings of an engine with the model `m` and some adapters, by key. */
export function holdings(...resident: readonly string[]): seatMessages.Holdings {
  return { kind: "holdings", models: ["m"], resident, gone: [], reach: 0 };
}

/** Starts one; it sends `first` on each new connection. */
export async function open(...first: readonly seatMessages.FromEndpoint[]) {
  let greeting = first;
  const heard: string[] = [];
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on("data", (part: Buffer) => {
      const messages = part.toString().trim().split("\n");
      heard.push(...messages.map((m) => (JSON.parse(m) as seatMessages.FromEntry).kind));
    });
    socket.on("error", () => socket.destroy());
    socket.write(encode(greeting));
  });
  const address = await addresses.listen(server, "127.0.0.1:0");
  return {
    address,
    /** Kinds of the messages that it received, in order. */
    heard,
    /** Sends messages on all connections. */
    tell: (...messages: readonly seatMessages.FromEndpoint[]): void => {
      for (const s of sockets) s.write(encode(messages));
    },
    /** Ends all connections, as a restart does, and sends `again` on each new one. */
    restart: (...again: readonly seatMessages.FromEndpoint[]): void => {
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

/** Starts one with an idle engine that holds some adapters; it grants each seat that it is asked for. */
export async function openGranting(instance: string, ...resident: readonly string[]) {
  const server = net.createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.on("data", (part: Buffer) => {
      // A process that knew another server at this port may still send HTTP requests there.
      if (!part.toString().startsWith("{")) {
        socket.destroy();
        return;
      }
      const messages = part.toString().trim().split("\n");
      for (const m of messages.map((text) => JSON.parse(text) as seatMessages.FromEntry))
        if (m.kind === "ask") socket.write(encode([{ kind: "grant", seat: m.seat, instance }]));
    });
    socket.write(encode([state(instance), holdings(...resident)]));
  });
  const address = await addresses.listen(server, "127.0.0.1:0");
  return {
    address,
    close: (): void => {
      server.close();
    },
  };
}

/** Encodes messages as JSON lines. */
function encode(messages: readonly seatMessages.FromEndpoint[]): string {
  return messages.map((m) => `${JSON.stringify(m)}\n`).join("");
}
