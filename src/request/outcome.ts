/**
 * What a caller may conclude from a failure, and the one error class that carries it.
 * @module
 */

/**
 * - `not_run`: certain; the request reached no engine or service, and may be sent again.
 * - `failed`: it ran, and failed.
 * - `unknown`: it may have run.
 */
export type Outcome = "not_run" | "failed" | "unknown";

/** HTTP status of each stable error code. */
export const STATUS = {
  bad_request: 400,
  unauthorized: 401,
  forbidden: 403,
  not_found: 404,
  duplicate: 409,
  stale_epoch: 409,
  too_large: 413,
  limit_reached: 429,
  engine_refused: 400,
  engine_failed: 502,
  answer_mismatch: 502,
  link_broken: 502,
  overloaded: 503,
  leaving: 503,
  not_ready: 503,
  no_endpoint: 503,
  load_failed: 503,
  claim_unproved: 503,
  cancelled: 503,
  deadline: 504,
} as const;

/** The stable error codes of every failure a caller or an operator can meet. */
export type Code = keyof typeof STATUS;

/** Where, why and with what certainty a step failed. */
export interface Failure {
  readonly code: Code;
  readonly outcome: Outcome;
  /** The step under way, e.g. `route` or `dispatch`. */
  readonly step: string;
  /** The process or host the step dealt with. */
  readonly peer: string;
  readonly message: string;
  /** Milliseconds after which a repeat makes sense; told to callers as Retry-After. */
  readonly retryAfterMs?: number | undefined;
}

/** A failure thrown between parts; it carries the step and the peer at which it arose. */
export class StepError extends Error {
  override readonly name = "StepError";
  constructor(readonly failure: Failure) {
    super(failure.message);
  }
}

/** A {@link StepError} for a request that certainly did not run. */
export function notRun(
  code: Code,
  step: string,
  peer: string,
  message: string,
  retryAfterMs?: number,
): StepError {
  return new StepError({ code, outcome: "not_run", step, peer, message, retryAfterMs });
}

/** The JSON body of a failure, in the shape of the language-model API's errors. */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: Code;
    readonly param: null;
    readonly step: string;
    readonly peer: string;
    readonly outcome: Outcome;
    readonly retry_after_ms?: number | undefined;
  };
}

/** Renders a failure as the body callers get. */
export function toBody(f: Failure): ErrorBody {
  const type = STATUS[f.code] < 500 ? "invalid_request_error" : "server_error";
  return {
    error: {
      message: f.message,
      type,
      code: f.code,
      param: null,
      step: f.step,
      peer: f.peer,
      outcome: f.outcome,
      retry_after_ms: f.retryAfterMs,
    },
  };
}

/** Reads a failure back from a daemon's body; undefined when the body is something else. */
export function fromBody(text: string): Failure | undefined {
  try {
    const { error } = JSON.parse(text) as Partial<ErrorBody>;
    if (!error || !(error.code in STATUS)) return undefined;
    const { code, outcome, step, peer, message, retry_after_ms } = error;
    return { code, outcome, step, peer, message, retryAfterMs: retry_after_ms };
  } catch {
    return undefined;
  }
}

/** Turns anything thrown into a failure, keeping the certainty a {@link StepError} carries. */
export function toFailure(err: unknown, step: string, peer: string, outcome: Outcome): Failure {
  if (err instanceof StepError) return err.failure;
  const message = err instanceof Error ? err.message : String(err);
  return { code: "link_broken", outcome, step, peer, message };
}
