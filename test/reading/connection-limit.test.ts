import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as fc from "fast-check";
import * as fixture from "../connections/fixture.js";
import * as connectionLimit from "../../src/host/reading/connection-limit.js";

const { expect } = chai;

const ORDER: readonly connectionLimit.Activity[] = ["silent", "idle", "receiving", "busy"];
const SETTLED_MS = 60;

describe("the connection that is closed for a new one", () => {
  it("is the first of the activity that goes first, and never one that waits for a response", () => {
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...ORDER)), (activities) => {
        const first = ORDER.slice(0, 3).find((a) => activities.includes(a));
        const expected = first === undefined ? undefined : activities.indexOf(first);
        return (
          connectionLimit.toClose(activities.keys(), (i) => activities[i] ?? "busy") === expected
        );
      }),
    );
  });
});

describe("a limit of connections", () => {
  /** A server that allows three connections and answers no request, and a way to connect to it. */
  async function open() {
    const server = http.createServer(() => undefined);
    const connections = fixture.create();
    connections.install(server);
    const limit = new connectionLimit.ConnectionLimit(3, connections);
    let closed = 0;
    limit.onClosed = () => closed++;
    limit.install(server);
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    const sockets: net.Socket[] = [];
    return {
      limit,
      closed: () => closed,
      connect: async (text: string): Promise<net.Socket> => {
        const socket = net.connect(port, "127.0.0.1").on("error", () => undefined);
        sockets.push(socket);
        socket.resume().write(text);
        await timers.setTimeout(SETTLED_MS);
        return socket;
      },
      stop: (): void => {
        for (const socket of sockets) socket.destroy();
        server.close();
      },
    };
  }

  const CALL = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

  // Guards against connections without a byte that take the descriptors of the store and workers.
  it("closes connections that have brought nothing for new ones, and not those with a request", async () => {
    const { limit, connect, closed, stop } = await open();
    const busy = await connect(CALL);
    const silent = [await connect(""), await connect("")];
    const newest = await connect(CALL);
    expect(silent.map((s) => s.destroyed)).deep.equal([true, false]);
    expect([busy, newest].map((s) => s.destroyed)).deep.equal([false, false]);
    expect([limit.size, closed()]).deep.equal([3, 1]);
    stop();
  });

  it("refuses a new connection if all others wait for responses", async () => {
    const { limit, connect, stop } = await open();
    const busy = [await connect(CALL), await connect(CALL), await connect(CALL)];
    const newest = await connect(CALL);
    expect([...busy, newest].map((s) => s.destroyed)).deep.equal([false, false, false, true]);
    expect(limit.size).equal(3);
    stop();
  });

  // Guards against requests that run and are cut off because the body of a later one arrives.
  it("closes no connection on which a request waits for its response while the body of the next arrives", async () => {
    const { connect, stop } = await open();
    const body = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nx";
    const ahead = await connect(`${CALL}${body}`);
    const receiving = await connect(body);
    await connect(CALL);
    await connect(CALL);
    expect([ahead, receiving].map((s) => s.destroyed)).deep.equal([false, true]);
    stop();
  });
});
