/**
 * A stand-in for the platform's list of hosts, served as a Kubernetes EndpointSliceList. Changes
 * can be made to appear late.
 * @module
 */
import type * as hosts from "../store/hosts.js";
import * as server from "./server.js";

/** The list of hosts. */
export class HostList {
  /** Milliseconds after which a change appears in the served list. */
  lagMs = 0;
  /** While true, every connection is closed without an answer. */
  down = false;
  private members: readonly hosts.Member[] = [];
  private visibleMembers: readonly hosts.Member[] = [];
  private version = 0;

  /** Replaces the list; the change appears after `lagMs`. */
  set(members: readonly hosts.Member[]): void {
    this.members = members;
    const publish = (): void => {
      this.visibleMembers = members;
      this.version++;
    };
    if (this.lagMs === 0) publish();
    else setTimeout(publish, this.lagMs);
  }

  /** Adds a member, or replaces the one with the same name. */
  put(member: hosts.Member): void {
    this.set([...this.members.filter((m) => m.name !== member.name), member]);
  }

  remove(name: string): void {
    this.set(this.members.filter((m) => m.name !== name));
  }

  readonly handle: server.RequestHandler = (req, res, body) => {
    if (this.down) {
      res.destroy();
      return;
    }
    if (req.method === "POST") {
      this.put(JSON.parse(body) as hosts.Member);
      server.sendJson(res, 200, {});
      return;
    }
    const etag = `"${this.version}"`;
    if (req.headers["if-none-match"] === etag) {
      res.writeHead(304).end();
      return;
    }
    res.setHeader("etag", etag);
    server.sendJson(res, 200, {
      kind: "EndpointSliceList",
      items: this.visibleMembers.map(toSlice),
    });
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

/** Starts a list of hosts on `port`, or on a free port if it is 0. */
export async function start(
  port = 0,
): Promise<server.RunningServer & { readonly hosts: HostList }> {
  const list = new HostList();
  return { ...(await server.serve(list.handle, port)), hosts: list };
}
