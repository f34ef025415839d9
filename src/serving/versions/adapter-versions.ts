/**
 * The versions of the adapters that requests are for, as an entry daemon may use them now.
 * @module
 */
import type * as clock from "../../host/clock.js";
import type * as callerRequest from "../caller-request.js";
import * as catalog from "../catalog.js";
import type * as declared from "./declared.js";
import * as usage from "./usage.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly catalog: () => Pick<catalog.Catalog, "versions">;
  /** For how long a version of an adapter may be used once a newer one is declared. */
  readonly limits: usage.Limits;
}

/** What decides which versions a request may run on. */
type Request = Pick<callerRequest.CallerRequest, "meta" | "service">;

export class AdapterVersions {
  constructor(private readonly deps: Deps) {}

  /** The declared versions of a request's adapter; undefined if none is known, or no engine serves it with an adapter. */
  declaredFor(req: Request): declared.Declared | undefined {
    const key = keyOf(req);
    return key === undefined ? undefined : this.deps.catalog().versions.get(key);
  }

  /** The oldest version on which a request may be sent that is expected to begin in `expectedMs`; 0 if any may be. */
  oldestUsable(req: Request, expectedMs = 0): number {
    const { clock: clk, limits } = this.deps;
    return usage.oldestUsable(this.declaredFor(req), limits, clk.mono(), expectedMs);
  }

  /** What the endpoint daemon is told of the version before the newest one; undefined if it may not be used. */
  olderFor(req: Request, expectedMs: number): ReturnType<typeof usage.olderFor> {
    const { clock: clk, limits } = this.deps;
    return usage.olderFor(this.declaredFor(req), limits, clk.mono(), expectedMs);
  }

  /** Milliseconds within which a request that was sent on a version must begin; Infinity without a limit. */
  beginsWithinMs(req: Request, version: number | undefined): number {
    const { clock: clk, limits } = this.deps;
    return usage.beginsWithinMs(this.declaredFor(req), version, limits, clk.mono());
  }
}

/** Whether an engine serves a request with an adapter. */
export function isForAdapter(req: Request): boolean {
  return keyOf(req) !== undefined;
}

function keyOf({ meta, service }: Request): string | undefined {
  const { target } = meta;
  if (!service.engine || target?.adapter === undefined) return undefined;
  return catalog.adapterKey(target.model, target.adapter);
}
