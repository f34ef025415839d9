import * as net from "node:net";
import * as chai from "chai";
import * as clock from "../../src/host/clock.js";
import * as earlyListener from "../../src/serving/early-listener.js";

const { expect } = chai;

const REQUEST = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/** Connects and sends a request. Resolves once the server has had time to read it. */
async function connect(listener: earlyListener.EarlyListener): Promise<net.Socket> {
  const { port } = listener.server.address() as net.AddressInfo;
  const socket = net.connect(port, "127.0.0.1");
  socket.write(REQUEST);
  await clock.sleep(clock.system, 50);
  return socket;
}

describe("early listener", () => {
  it("serves requests that waited during startup, except those whose callers disconnected", async () => {
    const listener = await earlyListener.open("127.0.0.1:0");
    const gone = await connect(listener);
    const waiting = await connect(listener);
    gone.destroy();
    await clock.sleep(clock.system, 50);
    let handled = 0;
    listener.setHandler((_req, res) => {
      handled++;
      res.end();
    });
    expect(handled).equal(1);
    waiting.destroy();
    listener.server.close();
  });

  // Guards against an id, a key or a deadline that is dropped because of the number of fields before it.
  it("keeps all fields of a head", async () => {
    const listener = await earlyListener.open("127.0.0.1:0");
    const seen: { readonly last: unknown; readonly rawHeaders: readonly string[] }[] = [];
    listener.setHandler((req, res) => {
      // A request keeps its fields until it has been answered.
      seen.push({ last: req.headers.last, rawHeaders: req.rawHeaders });
      res.end();
    });
    const { port } = listener.server.address() as net.AddressInfo;
    const socket = net.connect(port, "127.0.0.1");
    socket.write(`GET /x HTTP/1.1\r\nHost: a\r\n${"1:\r\n".repeat(3000)}Last: field\r\n\r\n`);
    await clock.sleep(clock.system, 100);
    expect(seen[0]?.last).equal("field");
    expect(seen[0]?.rawHeaders).length(2 * 3002);
    socket.destroy();
    listener.server.close();
  });
});
