/**
 * The objects operators declare, and the schema every one is checked against.
 * @module
 */
import * as zod from "zod";
import * as selector from "./selector.js";

const NAME = /^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/;
const VERSION = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

const name = zod
  .string()
  .regex(NAME, "expected 1 to 63 small letters, digits, '.' or '-', ending in a letter or digit");
const version = zod.string().regex(VERSION, "expected a version such as 7 or 2026.1");
const metadata = zod.strictObject({ name, labels: selector.labels.default({}) }).readonly();

function object<const K extends string, S extends zod.ZodRawShape>(kind: K, spec: S) {
  return zod
    .strictObject({
      apiVersion: zod.literal("sumacfield/v1"),
      kind: zod.literal(kind),
      metadata,
      spec: zod.strictObject(spec).readonly(),
    })
    .readonly();
}

const oneTarget = "expected exactly one of adapters and services";

/** What a grant allows its callers, together, over all entry hosts. */
const limits = zod
  .strictObject({
    /** Requests under way at once. */
    concurrency: zod.int().positive().optional(),
    /** Requests a second, averaged over a second. */
    rate: zod.number().positive().optional(),
    /** Requests waiting at one endpoint. */
    queue: zod.int().positive().optional(),
    /** Worth of one request against others; 1 when left out. */
    worth: zod.number().positive().max(1000).optional(),
  })
  .readonly();

const failureDomain = object("FailureDomain", { region: zod.string().optional() });
const host = object("Host", { failureDomain: name });
const endpoint = object("Endpoint", {
  host: name,
  /** An engine serves adapters of one base model; a service is routed to as it is. */
  serves: zod.enum(["engine", "service"]),
  baseModel: zod.string().min(1).optional(),
  service: name.optional(),
  /** Adapters the engine holds at once. */
  slots: zod.int().positive().default(8),
  /** Requests the engine batches at once, or the service takes at once. */
  seats: zod.int().positive().default(16),
  /** Whether the engine refuses orders with an old fencing number. */
  fencing: zod.enum(["honoured", "ignored"]).default("ignored"),
});
const adapter = object("Adapter", {
  baseModel: zod.string().min(1),
  versions: zod.array(zod.strictObject({ version, source: zod.string().min(1) }).readonly()).min(1),
  /** The version meant when a request names none. */
  current: version,
});
const service = object("Service", {
  /** HTTP methods whose calls may be run again after a broken link. */
  repeatable: zod.array(zod.string()).default(["GET", "HEAD", "OPTIONS"]),
});
const caller = object("Caller", {
  /** SHA-256 of each key in force, in hex; two or more while a key is rotated. */
  keys: zod.array(zod.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 in small hex digits")),
  /** Class of its requests in queues and metrics. */
  class: name.default("standard"),
});
const grant = object("Grant", {
  callers: selector.schema,
  adapters: selector.schema.optional(),
  services: selector.schema.optional(),
  limits: limits.default({}),
});
const placement = object("Placement", {
  adapters: selector.schema.optional(),
  services: selector.schema.optional(),
  endpoints: selector.schema,
  /** Failure domains that the endpoints tried first for one adapter are spread over. */
  spread: zod.strictObject({ failureDomains: zod.int().positive() }).readonly().optional(),
});

function checkTarget(
  o: { spec: { adapters?: unknown; services?: unknown } },
  ctx: zod.RefinementCtx,
) {
  if ((o.spec.adapters === undefined) === (o.spec.services === undefined)) {
    ctx.addIssue({ code: "custom", path: ["spec"], message: oneTarget });
  }
}

/** Schema of any object. */
export const schema = zod
  .discriminatedUnion("kind", [
    failureDomain,
    host,
    endpoint,
    adapter,
    service,
    caller,
    grant,
    placement,
  ])
  .superRefine((o, ctx) => {
    switch (o.kind) {
      case "Grant":
      case "Placement":
        checkTarget(o, ctx);
        break;
      case "Adapter":
        if (!o.spec.versions.some((v) => v.version === o.spec.current)) {
          ctx.addIssue({
            code: "custom",
            path: ["spec", "current"],
            message: "expected one of the versions listed",
          });
        }
        break;
      case "Endpoint":
        if (o.spec.serves === "engine" && !o.spec.baseModel) {
          ctx.addIssue({
            code: "custom",
            path: ["spec", "baseModel"],
            message: "expected the base model that the engine runs",
          });
        }
        if (o.spec.serves === "service" && !o.spec.service) {
          ctx.addIssue({
            code: "custom",
            path: ["spec", "service"],
            message: "expected the name of the Service",
          });
        }
        break;
      case "FailureDomain":
      case "Host":
      case "Service":
      case "Caller":
        break;
    }
  });

/** One declared object. */
export type Obj = zod.infer<typeof schema>;
export type Kind = Obj["kind"];
/** The object of one kind. */
export type Of<K extends Kind> = Extract<Obj, { kind: K }>;
export type Endpoint = Of<"Endpoint">;
export type Adapter = Of<"Adapter">;
export type Caller = Of<"Caller">;
export type Grant = Of<"Grant">;
export type Placement = Of<"Placement">;

/** Every kind, in the order lists show them. */
export const KINDS: readonly Kind[] = [
  "FailureDomain",
  "Host",
  "Endpoint",
  "Service",
  "Adapter",
  "Caller",
  "Grant",
  "Placement",
];

/** An object's key in the intent, e.g. `Adapter/captions-en`. */
export function keyOf(o: Obj): string {
  return `${o.kind}/${o.metadata.name}`;
}
