/**
 * Labels, and the selectors that pick objects by them, in the shape of Kubernetes' label selectors.
 * @module
 */
import * as zod from "zod";

/** The labels of one object. */
export type Labels = Readonly<Record<string, string>>;

const LABEL = /^[A-Za-z0-9]([A-Za-z0-9._/-]{0,251}[A-Za-z0-9])?$/;

/** Schema of a label map. */
export const labels = zod.record(
  zod.string().regex(LABEL, "expected a label name of letters, digits, '.', '_', '/' or '-'"),
  zod.string().max(63),
);

const valued = zod.strictObject({
  key: zod.string().min(1),
  operator: zod.enum(["In", "NotIn"]),
  values: zod.array(zod.string()).min(1),
});
const bare = zod.strictObject({
  key: zod.string().min(1),
  operator: zod.enum(["Exists", "DoesNotExist"]),
});

/** Schema of a selector; an empty one picks everything. */
export const schema = zod
  .strictObject({
    matchLabels: labels.optional(),
    matchExpressions: zod.array(zod.discriminatedUnion("operator", [valued, bare])).optional(),
  })
  .readonly();

/** All of its terms must hold. */
export type Selector = zod.infer<typeof schema>;
type Expression = NonNullable<Selector["matchExpressions"]>[number];

function holds(e: Expression, on: Labels): boolean {
  const value = on[e.key];
  switch (e.operator) {
    case "In":
      return value !== undefined && e.values.includes(value);
    case "NotIn":
      return value === undefined || !e.values.includes(value);
    case "Exists":
      return value !== undefined;
    case "DoesNotExist":
      return value === undefined;
  }
}

function show(e: Expression): string {
  return "values" in e
    ? `${e.key} ${e.operator} [${e.values.join(", ")}]`
    : `${e.key} ${e.operator}`;
}

/** The first term of `sel` that `on` fails, in words for an operator; undefined when all hold. */
export function whyNot(sel: Selector, on: Labels): string | undefined {
  for (const [key, value] of Object.entries(sel.matchLabels ?? {})) {
    if (on[key] !== value) return `${key}=${value} wanted, ${on[key] ?? "no such label"} found`;
  }
  const failed = sel.matchExpressions?.find((e) => !holds(e, on));
  return failed && `${show(failed)} wanted, ${on[failed.key] ?? "no such label"} found`;
}

/** Whether `sel` picks an object labelled `on`. */
export function matches(sel: Selector, on: Labels): boolean {
  return whyNot(sel, on) === undefined;
}
