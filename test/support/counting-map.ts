/** A map that counts the values that iterations visit, so that tests need not time work. */
export class CountingMap<K, V> extends Map<K, V> {
  visited = 0;

  override *values(): MapIterator<V> {
    for (const value of super.values()) {
      this.visited += 1;
      yield value;
    }
  }
}
