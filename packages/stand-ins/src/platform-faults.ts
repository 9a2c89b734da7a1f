import { setTimeout as delay } from 'node:timers/promises'
import { type Context, type Middleware, type Next } from 'koa'
import { noPlatformFaults, type PlatformFaults, type PlatformService } from './platform-settings.js'

/** Holds the fault switches of a platform and applies them to requests and replies. */
export class PlatformFaultSwitches {
  #faults: PlatformFaults = noPlatformFaults

  /** Present values of the switches. */
  get values (): PlatformFaults { return this.#faults }

  /**
   * Changes switches.
   *
   * @param faults - new values; absent switches keep theirs
   */
  set (faults: Partial<PlatformFaults>): void {
    this.#faults = { ...this.#faults, ...faults }
  }

  /**
   * Creates the middleware that applies `slowMs` and `down` to the requests of a service.
   *
   * @param service - the service that the requests are for
   */
  createMiddleware (service: PlatformService): Middleware {
    return async (ctx: Context, next: Next): Promise<void> => {
      if (this.#faults.parts.includes(service)) {
        if (this.#faults.slowMs > 0) await delay(this.#faults.slowMs)
        if (this.#faults.down !== 'off') {
          failRequest(ctx, this.#faults.down)
          return
        }
      }
      await next()
    }
  }

  /**
   * Answers a write that took effect, or loses the reply by closing the connection.
   *
   * @param ctx - context of the request
   * @param status - HTTP status of the reply
   * @param body - body of the reply
   */
  respondToWrite (ctx: Context, status: number, body: unknown): void {
    if (this.#faults.loseReplies) {
      dropConnection(ctx)
    } else {
      ctx.status = status
      ctx.body = body
    }
  }
}

function failRequest (ctx: Context, down: Exclude<PlatformFaults['down'], 'off'>): void {
  if (down === 'refuse') {
    dropConnection(ctx)
  } else if (down === 'hang') {
    ctx.respond = false
  } else {
    ctx.status = 503
    ctx.body = { error: 'the service is down' }
  }
}

function dropConnection (ctx: Context): void {
  ctx.respond = false
  ctx.req.socket.destroy()
}
