/**
 * Remembers the prompt parts of the latest requests that ran to their end on this host.
 * @module
 */
import type * as callerRequest from "../caller-request.js";
import * as promptParts from "./prompt-parts.js";

/** Number of requests remembered: those of some seconds to a minute, depending on the host's load. */
const CAPACITY = 256;

/** The latest runs of one host. Recording one only keeps a reference; the parts are read once a worker has crashed. */
export class RecentRuns {
  private readonly latest: callerRequest.Meta[] = [];
  private next = 0;
  private parts: ReadonlySet<string> | undefined;

  /** Records a request that ran to its end. */
  record(meta: callerRequest.Meta): void {
    if (meta.parts.length === 0) return;
    this.latest[this.next] = meta;
    this.next = (this.next + 1) % CAPACITY;
    this.parts = undefined;
  }

  /** Whether one of the remembered requests holds a part. */
  hold(part: string): boolean {
    this.parts ??= new Set(this.latest.flatMap((meta) => promptParts.idsOf(meta)));
    return this.parts.has(part);
  }
}
