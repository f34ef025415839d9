/**
 * The platform's list of hosts: which daemons are there and which are leaving. It lags, so it says
 * where to look, and the daemons themselves say how they are.
 * @module
 */
import * as undici from "undici";
import * as zod from "zod";
import * as outcome from "../request/outcome.js";

/** One daemon as the platform lists it. */
export interface Member {
  /** Name of the daemon; an endpoint daemon has the name of its Endpoint object. */
  readonly name: string;
  readonly role: "entry" | "endpoint";
  readonly failureDomain: string;
  /** IP number and port of its link server, e.g. `127.0.0.1:7000`. */
  readonly address: string;
  readonly leaving: boolean;
}

/** The list. Throws a `StepError` of step `hosts`. */
export interface Hosts {
  readonly list: () => Promise<readonly Member[]>;
}

const slice = zod.object({
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
 * Reads the list in the shape of Kubernetes' EndpointSlice list
 * (`GET /apis/discovery.k8s.io/v1/endpointslices`), one slice a daemon. An unchanged list costs a
 * 304 by its ETag.
 */
export function endpointSlices(url: string, timeoutMs: number): Hosts {
  let etag = "";
  let last: readonly Member[] = [];
  return {
    list: async () => {
      try {
        const res = await undici.request(`${url}/apis/discovery.k8s.io/v1/endpointslices`, {
          headers: etag === "" ? {} : { "if-none-match": etag },
          signal: AbortSignal.timeout(timeoutMs),
        });
        const text = await res.body.text();
        if (res.statusCode === 304) return last;
        if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`);
        last = toMembers(slice.parse(JSON.parse(text)));
        etag = typeof res.headers.etag === "string" ? res.headers.etag : "";
        return last;
      } catch (err) {
        const why = err instanceof Error ? err.message : String(err);
        throw outcome.notRun("link_broken", "hosts", url, `The list of hosts is out: ${why}.`);
      }
    },
  };
}

function toMembers(list: zod.infer<typeof slice>): readonly Member[] {
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
