/**
 * A stand-in for the platform's list of hosts, in the shape of Kubernetes' EndpointSlice list. It
 * lags as it is told to.
 * @module
 */
import type * as hosts from "../store/hosts.js";
import * as server from "./server.js";

export class Hosts {
  /** Milliseconds by which the list lags. */
  lagMs = 0;
  down = false;
  private members: readonly hosts.Member[] = [];
  private shown: readonly hosts.Member[] = [];
  private version = 0;

  /** Replaces the list; it shows after the lag. */
  set(members: readonly hosts.Member[]): void {
    this.members = members;
    const show = (): void => {
      this.shown = members;
      this.version++;
    };
    if (this.lagMs === 0) show();
    else setTimeout(show, this.lagMs);
  }

  /** Adds a member, or replaces the one of its name. */
  put(member: hosts.Member): void {
    this.set([...this.members.filter((m) => m.name !== member.name), member]);
  }

  remove(name: string): void {
    this.set(this.members.filter((m) => m.name !== name));
  }

  readonly handle: server.Handle = (req, res, body) => {
    if (this.down) {
      res.destroy();
      return;
    }
    if (req.method === "POST") {
      this.put(JSON.parse(body) as hosts.Member);
      server.json(res, 200, {});
      return;
    }
    const etag = `"${this.version}"`;
    if (req.headers["if-none-match"] === etag) {
      res.writeHead(304).end();
      return;
    }
    res.setHeader("etag", etag);
    server.json(res, 200, { kind: "EndpointSliceList", items: this.shown.map(toSlice) });
  };
}

function toSlice(m: hosts.Member): object {
  const [ip, port] = m.address.split(":");
  return {
    metadata: { name: m.name, labels: { "sumacfield/role": m.role } },
    endpoints: [{ addresses: [ip], conditions: { terminating: m.leaving }, zone: m.failureDomain }],
    ports: [{ port: Number(port) }],
  };
}

/** Starts a list on `port`, or on a free one. */
export async function start(port = 0): Promise<server.Running & { readonly hosts: Hosts }> {
  const list = new Hosts();
  return { ...(await server.serve(list.handle, port)), hosts: list };
}
