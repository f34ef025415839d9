/**
 * Lists the requests and the prompt parts in quarantine for operators, with the evidence, and releases or quarantines them by
 * hand.
 * @module
 */
import type * as clock from "../host/clock.js";
import * as identities from "../serving/identity.js";
import * as quarantine from "../serving/quarantine.js";
import * as promptParts from "../serving/crashes/prompt-parts.js";
import * as crashRecords from "../serving/crashes/records.js";
import type * as source from "../store/source.js";

/** What the operations need from their surroundings. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly source: Pick<source.Source, "list" | "claim">;
  /** Deletes a key from the store; does nothing if the key does not exist. */
  readonly remove: (key: string) => Promise<void>;
}

/** A request, or a set of prompt parts, in quarantine. */
export interface QuarantinedRequest {
  readonly identity: string;
  /** Undefined if the evidence stored under the key cannot be read. */
  readonly evidence: quarantine.Evidence | undefined;
}

/** The given text is not the identity of a request. */
export class IdentityError extends Error {
  override readonly name = "IdentityError";
}

/** The given texts are not ids of prompt parts. */
export class PartsError extends Error {
  override readonly name = "PartsError";
}

function validateIdentity(identity: string): string {
  if (identities.PATTERN.test(identity)) return identity;
  throw new IdentityError(
    `${identity} is not a request's identity: expected 22 characters, as written in the log`,
  );
}

/** Lists all requests and sets of prompt parts in quarantine. */
export async function list(deps: Deps): Promise<readonly QuarantinedRequest[]> {
  const { documents } = await deps.source.list(quarantine.PREFIX);
  return documents.map((d) => ({
    identity: quarantine.identityOf(d.key) ?? "",
    evidence: quarantine.decode(d.text),
  }));
}

/** Releases a request or a set of prompt parts: all hosts discard the evidence against it. Throws {@link IdentityError}. */
export async function release(deps: Deps, identity: string): Promise<void> {
  await deps.remove(quarantine.keyOf(validateIdentity(identity)));
}

/**
 * Puts a request in quarantine for as long as evidence against it would. Returns false if it was in quarantine
 * already. Throws {@link IdentityError}.
 */
export function mark(deps: Deps, identity: string): Promise<boolean> {
  const text = quarantine.encode({ workers: [], at: deps.clock.now() });
  return deps.source.claim(
    quarantine.keyOf(validateIdentity(identity)),
    crashRecords.EXPIRY_MS,
    text,
  );
}

/**
 * Puts all requests that hold some prompt parts into quarantine for as long as evidence against the parts would. Returns their
 * identity, by which they are released; it may have been in quarantine already. Throws {@link PartsError}.
 */
export async function markParts(deps: Deps, parts: readonly string[]): Promise<string> {
  const isValid = (p: string): boolean => p !== "" && p.length <= promptParts.MAX_ID_LENGTH;
  if (parts.length === 0 || !parts.every(isValid))
    throw new PartsError(
      `${parts.join(" ")} names no prompt parts: expected ids of 1 to ${promptParts.MAX_ID_LENGTH} characters`,
    );
  const id = identities.ofParts(parts);
  const text = quarantine.encode({ workers: [], parts, at: deps.clock.now() });
  await deps.source.claim(quarantine.keyOf(id), crashRecords.EXPIRY_MS, text);
  return id;
}
