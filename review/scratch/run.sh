cd /work/main
for s in 1 2; do for d in "$@"; do
timeout 560 ../given/kit/more/system/bin/fleetbench run ../given/kit/more/system/sites/loftline.toml review/scratch/$d.toml --seed $s --report review/scratch/$d-$s.json > review/scratch/$d-$s.out 2>&1
done; done
