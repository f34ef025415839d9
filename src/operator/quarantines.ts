/**
 * Requests in quarantine, for operators: which there are and why, releasing one, and putting one there by hand.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as identities from "../serving/identity.js";
import * as quarantine from "../serving/quarantine.js";
import * as suspicion from "../serving/suspicion.js";
import type * as source from "../store/source.js";

export interface Deps {
  readonly clock: clock.Clock;
  readonly source: Pick<source.Source, "list" | "claim">;
  /** Deletes a key from the store, which need not be there. */
  readonly remove: (key: string) => Promise<void>;
}

/** One request in quarantine. */
export interface Entry {
  readonly identity: string;
  /** Undefined where the key holds no evidence that can be read. */
  readonly evidence: quarantine.Evidence | undefined;
}

/** An identity that is none. */
export class IdentityError extends Error {
  override readonly name = "IdentityError";
}

function checked(identity: string): string {
  if (identities.PATTERN.test(identity)) return identity;
  throw new IdentityError(`${identity} is no request's identity: 22 letters, as the log tells it`);
}

/** All there are. */
export async function list(deps: Deps): Promise<readonly Entry[]> {
  const { documents } = await deps.source.list(quarantine.PREFIX);
  return documents.map((d) => ({
    identity: quarantine.identityOf(d.key) ?? "",
    evidence: quarantine.decode(d.text),
  }));
}

/** Releases a request: what was known of it counts no more, on all hosts. Throws {@link IdentityError}. */
export async function release(deps: Deps, identity: string): Promise<void> {
  await deps.remove(quarantine.keyOf(checked(identity)));
}

/**
 * Puts a request in quarantine for as long as evidence would; false when it was there already. Throws
 * {@link IdentityError}.
 */
export function mark(deps: Deps, identity: string): Promise<boolean> {
  const text = quarantine.encode({ workers: [], at: deps.clock.now() });
  return deps.source.claim(quarantine.keyOf(checked(identity)), suspicion.EXPIRY_MS, text);
}
