/**
 * Addresses of the form `ip:port`, and servers that listen at one. Needs nothing but Node's own
 * modules, so that a daemon can open its port before the rest is loaded.
 * @module
 */
import type * as net from "node:net";

export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Takes `ip:port` apart. */
export function parse(text: string): Address {
  const [host = "", port] = text.split(":");
  return { host, port: Number(port) };
}

/** Listens at `ip:port`, where port 0 is any free one; resolves with the address that was taken. */
export function listen(server: net.Server, address: string, backlog?: number): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ ...parse(address), ...(backlog !== undefined && { backlog }) }, () => {
      const at = server.address() as net.AddressInfo;
      resolve(`${at.address}:${at.port}`);
    });
  });
}
