package org.apricotstack.serving.publication;

/** The duty of a router without others, which never checks. */
public final class OnlyReader implements ReaderDuty {
    @Override
    public int platformReaders() {
        return 1;
    }

    @Override
    public boolean mustReadPlatform() {
        return true;
    }

    @Override
    public long checkAgeMillis() {
        return Long.MAX_VALUE;
    }

    @Override
    public void announceVerified() {
        // There is nobody to tell.
    }
}
