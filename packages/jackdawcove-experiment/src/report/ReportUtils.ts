/** Helpers of the reports. */

/**
 * Groups items by a key; the groups are in order of the first appearance of their keys.
 *
 * @example
 * groupBy([1, 2, 3], (value) => value % 2).get(1); // [1, 3]
 */
export function groupBy<Item, Key>(
  items: readonly Item[],
  getKey: (item: Item) => Key,
): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const key = getKey(item);
    const group = groups.get(key) ?? [];
    group.push(item);
    groups.set(key, group);
  }
  return groups;
}
