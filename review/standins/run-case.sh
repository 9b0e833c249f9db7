# Runs the case of the class $1, whose folder is the current one: exit code 0 if the rule held, 1 if it was broken, else 2.
case_class=$1
root=$(cd ../.. && pwd)
if [ ! -f ../target/classes/$case_class.class ] || [ ! -f "$root/frontend/target/quincespar.jar" ]; then
    echo "not built: run the build of deploy/balancer.toml and review/build.sh" >&2
    exit 2
fi
java -Xmx512m -XX:+UseSerialGC -cp ../target/classes "$case_class" "$root" . &
driver=$!
trap 'kill $driver 2> /dev/null' INT TERM # its shutdown hook ends the front ends
wait $driver
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
