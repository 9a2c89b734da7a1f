/** Fields of an item that an `IndexedHeap` maintains. */
export interface HeapEntry {
  heapKey: number
  /** Position in the heap, -1 while the item is in no heap. */
  heapIndex: number
}

/** Binary min-heap in which any item can be updated or removed in logarithmic time. */
export class IndexedHeap<T extends HeapEntry> {
  private readonly items: T[] = []

  get size (): number {
    return this.items.length
  }

  /** @returns the item with the lowest key, or undefined when the heap is empty */
  getFirst (): T | undefined {
    return this.items[0]
  }

  /** @returns all items in no particular order */
  list (): readonly T[] {
    return this.items
  }

  has (item: T): boolean {
    return item.heapIndex >= 0 && this.items[item.heapIndex] === item
  }

  add (item: T, key: number): void {
    item.heapKey = key
    item.heapIndex = this.items.length
    this.items.push(item)
    this.siftUp(item)
  }

  update (item: T, key: number): void {
    const before = item.heapKey
    item.heapKey = key
    if (key < before) this.siftUp(item)
    else if (key > before) this.siftDown(item)
  }

  remove (item: T): void {
    const index = item.heapIndex
    const last = this.items.pop()!
    item.heapIndex = -1
    if (last === item) return
    this.items[index] = last
    last.heapIndex = index
    this.siftUp(last)
    this.siftDown(last)
  }

  private siftUp (item: T): void {
    let index = item.heapIndex
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parent = this.items[parentIndex]!
      if (parent.heapKey <= item.heapKey) break
      this.items[index] = parent
      parent.heapIndex = index
      index = parentIndex
    }
    this.items[index] = item
    item.heapIndex = index
  }

  private siftDown (item: T): void {
    const count = this.items.length
    let index = item.heapIndex
    for (;;) {
      let childIndex = 2 * index + 1
      if (childIndex >= count) break
      if (childIndex + 1 < count && this.items[childIndex + 1]!.heapKey < this.items[childIndex]!.heapKey) childIndex++
      const child = this.items[childIndex]!
      if (child.heapKey >= item.heapKey) break
      this.items[index] = child
      child.heapIndex = index
      index = childIndex
    }
    this.items[index] = item
    item.heapIndex = index
  }
}
