package quincespar.decision;

/**
 * Divides among the routers the work that a cold engine may get within the overload window. Routers share
 * nothing, so each computes its own part, and the parts together stay within the allowance.
 *
 * @param allowance work that all routers together may send within the window
 * @param smallestWork usual work of the lightest class
 * @param largestWork usual work of the heaviest class
 */
record ColdAllowance(double allowance, int routers, double smallestWork, double largestWork) {
    /** Routers that may send to a cold engine in one turn: few, so that each may send at least one query. */
    private static final int ROUTERS_PER_TURN = 8;

    /**
     * The part of one router. An even part is soon below the heaviest query, which then finds no cold engine
     * until it is warm. So each cold engine has hosts: as many routers as can send it one heaviest query
     * each. Where an even part is below the lightest query, hosts would have too few queries: then a few
     * routers take turns in each window. A window may touch two turns, so each turn has half of the
     * allowance.
     *
     * @param enginePosition from 0 to below 1, by the engine's id; it decides which routers are the hosts
     * @param turn the number of whole windows since the engine started
     */
    double partOf(int router, double enginePosition, long turn) {
        if (routers > 2 * ROUTERS_PER_TURN && allowance / routers < smallestWork) {
            long placeInTurn = Math.floorMod(router - turn * ROUTERS_PER_TURN, (long) routers);
            return placeInTurn < ROUTERS_PER_TURN ? allowance / 2 / ROUTERS_PER_TURN : 0;
        }
        long hosts = (long) Math.max(1, Math.min(routers, Math.floor(allowance / largestWork)));
        long place = Math.floorMod(router + (long) (enginePosition * routers), (long) routers);
        return place < hosts ? hostPart(hosts) : otherPart(hosts);
    }

    /** A host leaves what exceeds one heaviest query to the others, if each can send a light one of it. */
    private double hostPart(long hosts) {
        return otherPart(hosts) > 0 ? largestWork : allowance / hosts;
    }

    /**
     * What the hosts leave to each other router. A router without any part would have no use of the engines
     * that replace others, and must refuse what the hosts could still serve.
     */
    private double otherPart(long hosts) {
        if (hosts >= routers) {
            return 0;
        }
        double part = (allowance - hosts * largestWork) / (routers - hosts);
        return part >= smallestWork ? part : 0;
    }
}
