import * as net from "node:net";
import * as chai from "chai";
import * as clock from "../../src/host/clock.js";
import * as door from "../../src/serving/door.js";

const { expect } = chai;

const REQUEST = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/** A caller that has sent its request; resolves once the server has had time to read it. */
async function caller(at: door.Door): Promise<net.Socket> {
  const { port } = at.server.address() as net.AddressInfo;
  const socket = net.connect(port, "127.0.0.1");
  socket.write(REQUEST);
  await clock.sleep(clock.system, 50);
  return socket;
}

describe("door", () => {
  it("hands over who waits, but not who left while the daemon was loaded", async () => {
    const at = await door.open("127.0.0.1:0");
    const left = await caller(at);
    const waits = await caller(at);
    left.destroy();
    await clock.sleep(clock.system, 50);
    let handled = 0;
    at.attach((_req, res) => {
      handled++;
      res.end();
    });
    expect(handled).equal(1);
    waits.destroy();
    at.server.close();
  });
});
