/**
 * Schemas for lists in documents that other programs write. Their decoding ends at the first invalid element: an error for each
 * would take many times the memory of the document.
 * @module
 */
import * as zod from "zod";

/** The first of the errors of an element, as an error of the list that holds it. */
function firstIssue(error: zod.ZodError, at: string | number) {
  const [first] = error.issues;
  const path = [at, ...(first?.path ?? [])];
  return { code: "custom" as const, message: first?.message ?? "invalid", path };
}

/** A list of values that `element` decodes. */
export function list<T>(element: zod.ZodType<T>) {
  return zod.array(zod.unknown()).transform((values, context): T[] => {
    const decoded: T[] = [];
    for (const [i, value] of values.entries()) {
      const read = element.safeParse(value);
      if (!read.success) {
        context.addIssue(firstIssue(read.error, i));
        return zod.NEVER;
      }
      decoded.push(read.data);
    }
    return decoded;
  });
}

const dictionary = zod.custom<object>(
  (value) => typeof value === "object" && value !== null && !Array.isArray(value),
  "expected an object",
);

/** An object whose values `element` decodes, as a map; a key may have any name. */
export function map<T>(element: zod.ZodType<T>) {
  return dictionary.transform((values, context): Map<string, T> => {
    const decoded = new Map<string, T>();
    for (const [key, value] of Object.entries(values)) {
      const read = element.safeParse(value);
      if (!read.success) {
        context.addIssue(firstIssue(read.error, key));
        return zod.NEVER;
      }
      decoded.set(key, read.data);
    }
    return decoded;
  });
}
