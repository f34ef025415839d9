/**
 * Labels, and selectors that match objects by their labels, in the format of Kubernetes' label selectors.
 * @module
 */
import * as zod from "zod";

/** The labels of one object, by name. */
export type Labels = Readonly<Record<string, string>>;

const LABEL = /^[A-Za-z0-9]([A-Za-z0-9._/-]{0,251}[A-Za-z0-9])?$/;

/** Schema of a label map. */
export const labels = zod.record(
  zod.string().regex(LABEL, "expected a label name of letters, digits, '.', '_', '/' or '-'"),
  zod.string().max(63),
);

/** An expression that compares a label's value with a list. */
const valueExpression = zod.strictObject({
  key: zod.string().min(1),
  operator: zod.enum(["In", "NotIn"]),
  values: zod.array(zod.string()).min(1),
});
/** An expression that tests only whether a label is present. */
const presenceExpression = zod.strictObject({
  key: zod.string().min(1),
  operator: zod.enum(["Exists", "DoesNotExist"]),
});

/** Schema of a selector; an empty selector matches every object. */
export const schema = zod
  .strictObject({
    matchLabels: labels.optional(),
    matchExpressions: zod
      .array(zod.discriminatedUnion("operator", [valueExpression, presenceExpression]))
      .optional(),
  })
  .readonly();

/** A selector. It matches an object for which all of its terms hold. */
export type Selector = zod.infer<typeof schema>;
type Expression = NonNullable<Selector["matchExpressions"]>[number];

function matchesExpression(e: Expression, actual: Labels): boolean {
  const value = actual[e.key];
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

function format(e: Expression): string {
  return "values" in e
    ? `${e.key} ${e.operator} [${e.values.join(", ")}]`
    : `${e.key} ${e.operator}`;
}

/**
 * Describes, for an operator, the first term of `sel` that the labels `actual` do not satisfy; undefined
 * when all terms hold.
 */
export function whyNot(sel: Selector, actual: Labels): string | undefined {
  for (const [key, value] of Object.entries(sel.matchLabels ?? {})) {
    if (actual[key] !== value)
      return `${key}=${value} wanted, ${actual[key] ?? "no such label"} found`;
  }
  const failed = sel.matchExpressions?.find((e) => !matchesExpression(e, actual));
  return failed && `${format(failed)} wanted, ${actual[failed.key] ?? "no such label"} found`;
}

/** Whether `sel` matches an object with the labels `actual`. */
export function matches(sel: Selector, actual: Labels): boolean {
  return whyNot(sel, actual) === undefined;
}
