/**
 * The platform's list of hosts: which daemons exist, and which are shutting down. The list lags, so it
 * is used only to find the daemons; their state is read from the daemons themselves.
 * @module
 */
import * as undici from "undici";
import * as zod from "zod";
import * as outcome from "../request/outcome.js";

/** One daemon in the platform's list. */
export interface Member {
  /** Name of the daemon; for an endpoint daemon, the name of its Endpoint object. */
  readonly name: string;
  readonly role: "entry" | "endpoint";
  readonly failureDomain: string;
  /** IP address and port on which the daemon accepts requests of other daemons, e.g. `127.0.0.1:7000`. */
  readonly address: string;
  /** Whether the platform is terminating the daemon. */
  readonly leaving: boolean;
}

/** Access to the list of hosts. `list` throws a `StepError` of step `hosts` when the list cannot be read. */
export interface Hosts {
  readonly list: () => Promise<readonly Member[]>;
}

const sliceList = zod.object({
  items: zod.array(
    zod.object({
      metadata: zod.object({
        name: zod.string(),
        labels: zod.object({ "sumacfield/role": zod.enum(["entry", "endpoint"]) }),
      }),
      endpoints: zod.array(
        zod.object({
          addresses: zod.array(zod.string()).min(1),
          conditions: zod.object({ terminating: zod.boolean().default(false) }).default({
            terminating: false,
          }),
          zone: zod.string(),
        }),
      ),
      ports: zod.array(zod.object({ port: zod.int() })).min(1),
    }),
  ),
});

/**
 * Reads the list in the format of Kubernetes' EndpointSlice list
 * (`GET /apis/discovery.k8s.io/v1/endpointslices`), with one slice per daemon. Sends the last ETag, so
 * that an unchanged list is answered with a 304.
 */
export function endpointSlices(url: string, timeoutMs: number): Hosts {
  let etag = "";
  let lastMembers: readonly Member[] = [];
  return {
    list: async () => {
      try {
        const res = await undici.request(`${url}/apis/discovery.k8s.io/v1/endpointslices`, {
          headers: etag === "" ? {} : { "if-none-match": etag },
          signal: AbortSignal.timeout(timeoutMs),
        });
        const text = await res.body.text();
        if (res.statusCode === 304) return lastMembers;
        if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`);
        lastMembers = toMembers(sliceList.parse(JSON.parse(text)));
        etag = typeof res.headers.etag === "string" ? res.headers.etag : "";
        return lastMembers;
      } catch (err) {
        const why = err instanceof Error ? err.message : String(err);
        throw outcome.notRun(
          "link_broken",
          "hosts",
          url,
          `The list of hosts could not be read: ${why}.`,
        );
      }
    },
  };
}

function toMembers(list: zod.infer<typeof sliceList>): readonly Member[] {
  return list.items.flatMap((s) =>
    s.endpoints.map((e) => ({
      name: s.metadata.name,
      role: s.metadata.labels["sumacfield/role"],
      failureDomain: e.zone,
      address: `${e.addresses[0] ?? ""}:${s.ports[0]?.port ?? 0}`,
      leaving: e.conditions.terminating,
    })),
  );
}
