/** A map that counts how many values walks over it look at: work is counted in tests, never timed. */
export class CountingMap<K, V> extends Map<K, V> {
  visited = 0;

  override *values(): MapIterator<V> {
    for (const value of super.values()) {
      this.visited += 1;
      yield value;
    }
  }
}
