"""Commands of ``pistachiowell-ctl``, one module each."""
