/**
 * Ports for tests.
 * @module
 */
import * as net from "node:net";

/** A port of the loopback address that nothing listens on now. */
export async function free(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}
