/** All modes of a link. */
export const linkModes = ['open', 'cut', 'cut-to-server', 'cut-to-client', 'refuse'] as const

/**
 * What a link forwards. A cut holds the bytes of the named direction, as a network does while the
 * sender retransmits them, and delivers them when it ends. New connections wait during any cut,
 * since a handshake needs both directions. `refuse` resets connections instead.
 */
export type LinkMode = (typeof linkModes)[number]
